package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

const (
	most     = 131072   // entries held at a time (ours)
	mostOf   = 64 << 20 // bytes of responses held at a time (ours)
	handedOf = 24 << 20 // and handed over in one answer, which is one frame (ours)
)

// Holdings is a decision value: the claims that a node holds for others.
type Holdings struct {
	held    map[place]kept
	bytes   int
	settled int
}

type place struct {
	owner string
	key   idempotency.Key
}

type kept struct {
	Entry
	until time.Duration
}

// NewHoldings makes empty holdings.
func NewHoldings() *Holdings { return &Holdings{held: map[place]kept{}} }

// Take holds a claim, or what has become of it. A claim of an earlier boot is
// never overwritten by a new one: it is told instead.
func (h *Holdings) Take(e Entry, now time.Duration) Held {
	if len(h.held) >= most || h.bytes+len(e.Response) > mostOf {
		for at, k := range h.held {
			if now >= k.until {
				h.drop(at)
			}
		}
	}
	at := place{e.Owner, e.Key}
	old, ok := h.held[at]
	if ok && now >= old.until {
		h.drop(at)
		ok = false
	}
	switch {
	case ok && old.Boot != e.Boot:
		return Held{Known: &old.Entry}
	case ok && old.N > e.N, ok && old.N == e.N && e.Response == nil:
		return Held{Taken: true} // overtaken on the way
	case !ok && len(h.held) >= most:
		return Held{}
	case h.bytes+len(e.Response) > mostOf:
		e.Response = nil // that it was claimed is worth more than what was answered
	}
	h.drop(at)
	h.held[at] = kept{Entry: e, until: now + e.For}
	h.bytes += len(e.Response)
	if e.Response != nil {
		h.settled++
	}
	return Held{Taken: true}
}

// Release gives up a claim whose request surely did not run; not a later one.
func (h *Holdings) Release(e Entry) {
	at := place{e.Owner, e.Key}
	if old, ok := h.held[at]; ok && old.Boot == e.Boot && old.N == e.N {
		h.drop(at)
	}
}

// Handover lists what earlier boots of a node laid claim to: all of it, with as many
// of the responses as one answer bears.
func (h *Holdings) Handover(q Handover, now time.Duration) (out Handed) {
	bytes := 0
	for _, k := range h.held {
		if k.Owner == q.Owner && k.Boot != q.Boot && now < k.until {
			e := k.Entry
			if bytes += len(e.Response); bytes > handedOf {
				e.Response = nil
			}
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

// Count is how many claims are held, and how many of them with a response.
func (h *Holdings) Count() (held, settled int) { return len(h.held), h.settled }

func (h *Holdings) drop(at place) {
	if r := h.held[at].Response; r != nil {
		h.bytes -= len(r)
		h.settled--
	}
	delete(h.held, at)
}
