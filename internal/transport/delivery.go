package transport

// Delivery states whether a call reached the peer.
type Delivery int

const (
	// DeliveryUnknown means that the peer may or may not have received the call.
	DeliveryUnknown Delivery = iota
	// NotDelivered means that the peer certainly did not receive the complete call.
	NotDelivered
	// Answered means that the peer sent a response.
	Answered
)
