package transport

// Delivery is what is known about a call's way to the peer.
type Delivery int

const (
	// DeliveryUnknown says that the peer may have got the call, or not.
	DeliveryUnknown Delivery = iota
	// NotDelivered says that the call certainly never reached the peer as a whole.
	NotDelivered
	// Answered says that the peer answered.
	Answered
)
