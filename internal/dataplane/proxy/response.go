package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/transport"
)

// Response is the response that the client of a request receives. It is also stored in the record
// of an idempotency key, whose format the msgpack tags define.
type Response struct {
	Status int         `msgpack:"Status"`
	Header http.Header `msgpack:"Header"`
	// Trailer is sent after the body.
	Trailer http.Header     `msgpack:"Trailer"`
	Body    []byte          `msgpack:"Body"`
	Outcome routing.Outcome `msgpack:"Fate"`
}

// ShutdownResponse returns the response in dialect d that a sidecar sends on an idle client
// connection while it is shutting down. A client that is sending a request on the connection at the
// same time learns from status 408 that the request was not received. (DESIGN 11.3)
func ShutdownResponse(d Dialect) Response {
	return d.BuildReply(LocalReply{Status: http.StatusRequestTimeout, Outcome: routing.NotRun, Reason: stoppingReason, RetryAfter: transientRetryAfter})
}

// marshal encodes the response for the record of its idempotency key.
func (r Response) marshal() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // bytes and strings can always be encoded
	}
	return b
}

// unmarshalResponse decodes a response from the record of an idempotency key. ok is false if the
// record has no valid response.
func unmarshalResponse(b []byte) (r Response, ok bool) {
	ok = transport.Unmarshal(b, &r) == nil && r.Status >= 200 && r.Status <= 999
	return r, ok
}

// localReplyBody is the body of a local reply.
type localReplyBody struct {
	Outcome routing.Outcome `json:"outcome"`
	Reason  string          `json:"reason"`
	Trace   string          `json:"trace,omitempty"`
}

// newLocalReply builds the response of a local reply. Retry-After is in whole seconds, rounded up.
// (DESIGN 10.2)
func newLocalReply(reply LocalReply) Response {
	body, _ := json.Marshal(localReplyBody{Outcome: reply.Outcome, Reason: reply.Reason, Trace: reply.TraceID})
	header := http.Header{"Content-Type": {"application/json"}, HeaderOutcome: {string(reply.Outcome)}}
	if reply.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((reply.RetryAfter+time.Second-1)/time.Second)))
	}
	return Response{Status: reply.Status, Header: header, Body: body, Outcome: reply.Outcome}
}

// write writes the response to the client. It adds only the header fields that describe the end of
// the message, which are Content-Length and Trailer.
func (r Response) write(w http.ResponseWriter, request *http.Request) {
	h := w.Header()
	for k, v := range r.Header {
		h[k] = v
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil // otherwise net/http adds its own
		}
	}
	trailer := r.Trailer
	if !request.ProtoAtLeast(1, 1) {
		trailer = nil // HTTP/1.0 has no chunked encoding, so the client could not find the end of the response
	}
	for k := range trailer {
		h.Add("Trailer", k)
	}
	if len(trailer) == 0 && request.Method != http.MethodHead && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	w.Write(r.Body)
	for k, v := range trailer {
		h[k] = v
	}
}
