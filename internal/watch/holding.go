package watch

import "curlewwalk/internal/config"

// Holding is the configuration that a follower was told last, to be told the next one by
// its difference. It is a decision value that one thread owns. (DESIGN 8.3)
type Holding struct{ version config.Version }

// Asks completes a question with what the follower holds.
func (h *Holding) Asks(q Follow) Follow {
	q.Has = nil
	if h.version.Size() > 0 {
		q.Has = h.version.Fingerprint[:]
	}
	return q
}

// Read makes whole what was told by difference. False if that can't be done: then nothing
// of the news may be used, and the same is asked for again, whole.
func (h *Holding) Read(n *News) bool {
	for i := range n.Items {
		if !h.item(&n.Items[i]) {
			h.version = config.Version{}
			return false
		}
	}
	return true
}

func (h *Holding) item(it *Item) bool {
	if it.Word != nil {
		h.version, _ = config.NewVersion(*it.Word)
		return true
	}
	if it.Patch == nil {
		return true
	}
	next, ok := h.version.Apply(*it.Patch)
	var w config.Word
	if !ok || next.Into(&w) != nil {
		return false
	}
	h.version = next
	*it = Item{Word: &w}
	return true
}
