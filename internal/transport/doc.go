// Package transport carries calls between the processes of the mesh over TCP. (DESIGN 3)
//
// A Client opens connections on demand and sends calls. A Server accepts connections and
// dispatches each call to the handler of its kind. Each side of a connection first sends a
// Hello. Every later frame holds one message. The calling side sends pings and calls; call
// IDs ascend. The answering side sends responses, in any order.
//
// A frame consists of
//
//	length    4 bytes, big endian: length of the payload in bytes
//	checksum  4 bytes, big endian: CRC-32C of the payload
//	payload   a trace prefix if the call is traced, then a message in msgpack
//
// The outcome of a call is a Response, never a Go error. Response.Delivery states whether the
// peer answered the call, whether the call was certainly not delivered, or that neither is
// known. Callers use it to decide whether a request may be sent to another node.
package transport
