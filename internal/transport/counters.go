package transport

import (
	"sync"
	"sync/atomic"
)

// CallCounts is what one side of connections carried of one kind: a Client sent the calls
// and received the responses, a Server received the calls and sent the responses. Bytes are
// whole frames.
type CallCounts struct {
	Calls         uint64 `json:"calls"`
	CallBytes     uint64 `json:"call_bytes"`
	Responses     uint64 `json:"receipts"`
	ResponseBytes uint64 `json:"receipt_bytes"`
}

// These are counted beside the kinds of calls.
const (
	// KindPing is a ping, and its answer.
	KindPing = "ping"
	// kindHello is a Hello.
	kindHello = "greeting"
	// kindUnknown is a call of a kind that has no handler: the names that other processes
	// send are not kept.
	kindUnknown = "unknown"
	// kindAbandoned is a response that came after its caller had given up.
	kindAbandoned = "dropped"
)

// Counters counts frames by kind. All connections of one side share it. Its zero value is
// ready for use, from any goroutine.
type Counters struct{ byKind sync.Map } // of *kindCounter, by string

type kindCounter struct{ calls, callBytes, responses, responseBytes atomic.Uint64 }

// counter returns the counter of a kind, which it makes if need be.
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

// Snapshot is what was counted so far, by kind.
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
