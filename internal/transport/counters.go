package transport

import (
	"sync"
	"sync/atomic"
)

// CallCounts counts the frames of one kind on one side of the connections. A Client counts
// the calls sent and the responses received. A Server counts the calls received and the
// responses sent. Byte counts include the frame headers. Pings and Hellos are counted like calls
// in the direction of calls, and like responses in the other direction.
type CallCounts struct {
	Calls         uint64 `json:"calls"`
	CallBytes     uint64 `json:"call_bytes"`
	Responses     uint64 `json:"receipts"`
	ResponseBytes uint64 `json:"receipt_bytes"`
}

// The kinds that are counted in addition to the kinds of calls. Snapshot includes both.
const (
	// KindPing is the kind of pings and of their responses.
	KindPing = "ping"
	// kindHello is the kind of Hellos.
	kindHello = "greeting"
	// kindUnknown counts calls that have no handler. Their kinds are not kept as keys, since
	// the peer chooses them.
	kindUnknown = "unknown"
	// kindAbandoned counts responses that arrived after the caller had stopped waiting.
	kindAbandoned = "dropped"
)

// Counters counts frames by kind. All connections of a Client or of a Server share one. The
// zero value is ready for use. Counters is safe for concurrent use.
type Counters struct{ byKind sync.Map } // string to *kindCounter

type kindCounter struct{ calls, callBytes, responses, responseBytes atomic.Uint64 }

// counter returns the counter of a kind. It creates the counter if there is none.
func (c *Counters) counter(kind string) *kindCounter {
	existing, ok := c.byKind.Load(kind)
	if !ok {
		existing, _ = c.byKind.LoadOrStore(kind, &kindCounter{})
	}
	return existing.(*kindCounter)
}

func (c *Counters) addCall(kind string, bytes int) {
	counter := c.counter(kind)
	counter.calls.Add(1)
	counter.callBytes.Add(uint64(bytes))
}

func (c *Counters) addResponse(kind string, bytes int) {
	counter := c.counter(kind)
	counter.responses.Add(1)
	counter.responseBytes.Add(uint64(bytes))
}

// Snapshot returns the current counts by kind.
func (c *Counters) Snapshot() map[string]CallCounts {
	snapshot := map[string]CallCounts{}
	c.byKind.Range(func(kind, value any) bool {
		counter := value.(*kindCounter)
		snapshot[kind.(string)] = CallCounts{
			Calls:         counter.calls.Load(),
			CallBytes:     counter.callBytes.Load(),
			Responses:     counter.responses.Load(),
			ResponseBytes: counter.responseBytes.Load(),
		}
		return true
	})
	return snapshot
}
