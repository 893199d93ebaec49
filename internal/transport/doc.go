// Package transport carries calls between the system's own processes over TCP. (DESIGN 3)
//
// A Client opens connections on demand and sends calls; a Server accepts connections and
// answers calls by their kind. Both sides of a connection first send a Hello. After it,
// each frame holds one message: the calling side sends calls, with ascending numbers and
// with pings between them, the answering side responses, in any order.
//
// A frame is
//
//	length    4 bytes, big endian: of the payload
//	checksum  4 bytes, big endian: CRC-32C of the payload
//	payload   a trace prefix if the call is traced, and a message in msgpack
//
// The outcome of a call is a Response, never a Go error: its Delivery reports whether the call
// was answered, certainly not delivered, or neither is known. Callers decide by it whether a
// request may be sent to another node.
package transport
