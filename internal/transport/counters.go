package transport

import (
	"sync"
	"sync/atomic"
)

// CallCounts is what one side of connections carried of one kind: a calling side (Net) sent the
// calls and got the responses, an answering side (Host) got the calls and sent the
// responses. Bytes are whole frames.
type CallCounts struct {
	Calls         uint64 `json:"calls"`
	CallBytes     uint64 `json:"call_bytes"`
	Responses     uint64 `json:"receipts"`
	ResponseBytes uint64 `json:"receipt_bytes"`
}

// These are counted beside the kinds of calls. What another process names is not kept
// as a kind unless somebody here answers it; a dropped response came after its caller
// had given up.
const (
	KindPing      = "ping"
	kindHello     = "greeting"
	kindUnknown   = "unknown"
	kindAbandoned = "dropped"
)

// Counters counts frames by kind. All connections of one side share it.
type Counters struct{ byKind sync.Map }

type kindCounter struct{ calls, callBytes, responses, responseBytes atomic.Uint64 }

func (c *Counters) counter(kind string) *kindCounter {
	if existing, ok := c.byKind.Load(kind); ok {
		return existing.(*kindCounter)
	}
	existing, _ := c.byKind.LoadOrStore(kind, &kindCounter{})
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
	out := map[string]CallCounts{}
	c.byKind.Range(func(kind, v any) bool {
		counter := v.(*kindCounter)
		out[kind.(string)] = CallCounts{counter.calls.Load(), counter.callBytes.Load(), counter.responses.Load(), counter.responseBytes.Load()}
		return true
	})
	return out
}
