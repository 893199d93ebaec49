package transport

import (
	"sync"
	"sync/atomic"
)

// Count is what one side of connections carried of one kind: a calling side (Net) sent the
// calls and got the responses, an answering side (Host) got the calls and sent the
// responses. Bytes are whole frames.
type Count struct {
	Calls         uint64 `json:"calls"`
	CallBytes     uint64 `json:"call_bytes"`
	Responses     uint64 `json:"receipts"`
	ResponseBytes uint64 `json:"receipt_bytes"`
}

// These are counted beside the kinds of calls. What another process names is not kept
// as a kind unless somebody here answers it; a dropped response came after its caller
// had given up.
const (
	KindPing     = "ping"
	kindGreeting = "greeting"
	kindUnknown  = "unknown"
	kindDropped  = "dropped"
)

// Counts counts frames by kind. All connections of one side share it.
type Counts struct{ kinds sync.Map }

type cell struct{ calls, callBytes, responses, responseBytes atomic.Uint64 }

func (c *Counts) cell(kind string) *cell {
	if got, ok := c.kinds.Load(kind); ok {
		return got.(*cell)
	}
	got, _ := c.kinds.LoadOrStore(kind, &cell{})
	return got.(*cell)
}

func (c *Counts) call(kind string, bytes int) {
	k := c.cell(kind)
	k.calls.Add(1)
	k.callBytes.Add(uint64(bytes))
}

func (c *Counts) response(kind string, bytes int) {
	k := c.cell(kind)
	k.responses.Add(1)
	k.responseBytes.Add(uint64(bytes))
}

// Read is what was counted so far, by kind.
func (c *Counts) Read() map[string]Count {
	out := map[string]Count{}
	c.kinds.Range(func(kind, v any) bool {
		k := v.(*cell)
		out[kind.(string)] = Count{k.calls.Load(), k.callBytes.Load(), k.responses.Load(), k.responseBytes.Load()}
		return true
	})
	return out
}
