package transport

// Delivery is what is known of a call.
type Delivery int

// A call was answered; or surely never reached the far node whole; or nobody
// knows.
const (
	DeliveryUnknown Delivery = iota
	NotDelivered
	Answered
)
