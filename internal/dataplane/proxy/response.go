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

// Response is the answer to a request as its client gets it.
type Response struct {
	Status int         `msgpack:"Status"`
	Header http.Header `msgpack:"Header"`
	// Trailer follows the body.
	Trailer http.Header     `msgpack:"Trailer"`
	Body    []byte          `msgpack:"Body"`
	Fate    routing.Outcome `msgpack:"Fate"`
}

// ShutdownResponse is what a stopping sidecar answers on an idle connection, in a dialect.
// (DESIGN 11.3)
func ShutdownResponse(d Dialect) Response {
	return d.BuildReply(LocalReply{Status: http.StatusRequestTimeout, Outcome: routing.NotRun, Reason: stoppingReason, RetryAfter: time.Second})
}

// pack writes a response for those who hold its claim; nothing if it need not be
// kept.
func (r Response) pack(keep bool) []byte {
	if !keep {
		return nil
	}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // plain bytes and text can be written
	}
	return b
}

// unmarshalResponse reads such a response.
func unmarshalResponse(b []byte) (r Response, ok bool) {
	ok = transport.Unmarshal(b, &r) == nil && r.Status >= 200 && r.Status <= 999
	return r, ok
}

// localReplyBody is the body of an answer that is our own.
type localReplyBody struct {
	Outcome routing.Outcome `json:"outcome"`
	Reason  string          `json:"reason"`
	Trace   string          `json:"trace,omitempty"`
}

// newLocalReply builds an answer of our own: at once, with what is known and when
// to come back. (DESIGN 10.2)
func newLocalReply(status int, f routing.Outcome, reason, trace string, retry time.Duration) Response {
	body, _ := json.Marshal(localReplyBody{Outcome: f, Reason: reason, Trace: trace})
	h := http.Header{"Content-Type": {"application/json"}, HeaderOutcome: {string(f)}}
	if retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retry+time.Second-1)/time.Second)))
	}
	return Response{Status: status, Header: h, Body: body, Fate: f}
}

// write hands the response to the client, adding nothing.
func (r Response) write(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	for k, v := range r.Header {
		h[k] = v
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil // net/http would add its own
		}
	}
	trailer := r.Trailer
	if !q.ProtoAtLeast(1, 1) {
		trailer = nil // it knows no chunks, and would not know where the answer ends
	}
	for k := range trailer {
		h.Add("Trailer", k)
	}
	if len(trailer) == 0 && q.Method != http.MethodHead && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	w.Write(r.Body)
	for k, v := range trailer {
		h[k] = v
	}
}
