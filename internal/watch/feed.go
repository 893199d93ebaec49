package watch

import (
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

const (
	kept = 1024 // changes kept for followers to resume from (ours)
	// SettleIn is how long after its start a core only listens: its directory
	// must be told again before a snapshot of it means anything.
	SettleIn = 700 * time.Millisecond // (ours)
	// goneAfter is when a silent node is taken out, whoever accuses it or not.
	goneAfter = 2 * time.Second // (ours)
	// quiet is how long a node that its watchers accuse must be silent towards
	// this core too.
	quiet = 750 * time.Millisecond // (ours)
	// agreed is how many watchers must accuse it, if there are so many.
	agreed = 2 // (ours)
)

// Feed is a core's directory and its numbered changes: a decision value that
// one thread owns. Times are durations since the owner's start.
type Feed struct {
	ID    uint64
	place uint64
	items []Item // items[i] has number place-len(items)+1+i
	word  *config.Word
	// version is that word's; versions are those of late, to tell differences from.
	version  config.Version
	versions config.Versions
	nodes    map[string]membership.Node
	heard    map[string]time.Duration
	// emptySince is since when an emptied zone has nothing open.
	emptySince map[string]time.Duration
	departed   departed
	open       time.Duration // not before this is the feed served
	last       time.Duration
}

// New makes an empty feed.
func New(id uint64, now time.Duration) *Feed {
	return &Feed{ID: id, nodes: map[string]membership.Node{}, heard: map[string]time.Duration{}, open: now + SettleIn, last: now}
}

func (f *Feed) add(it Item) {
	f.place++
	f.items = append(f.items, it)
	if len(f.items) > kept {
		f.items = slices.Delete(f.items, 0, len(f.items)-kept)
	}
}

// Settled takes a majority-held word; true if it is news.
func (f *Feed) Settled(w config.Word) bool {
	if f.word != nil && w.Stamp <= f.word.Stamp {
		return false
	}
	w = w.Bare()
	for i := range f.items {
		if f.items[i].Word != nil {
			f.items[i] = Item{} // nobody needs it any more, however far behind
		}
	}
	f.version, _ = config.NewVersion(w)
	f.versions.Add(f.version)
	f.word = &w
	f.add(Item{Word: &w})
	return true
}

// Told takes a node's own word; true if it is news.
func (f *Feed) Told(n membership.Node, now time.Duration) bool {
	old, ok := f.nodes[n.Addr]
	f.heard[n.Addr] = now
	if ok && old.Boot == n.Boot && (old.Rev > n.Rev || old.Rev == n.Rev && old.Turn > n.Turn) {
		return false // overtaken on the way
	}
	f.nodes[n.Addr] = n
	if ok && old.Boot == n.Boot && old.Rev == n.Rev {
		return false
	}
	f.add(nodeItem(n))
	return true
}

// Departed takes the departures that a node tells of, however late that comes, and returns
// what earlier processes at its address told besides.
func (f *Feed) Departed(n membership.Node, now time.Duration) (beyond []string) {
	return f.departed.hear(n, now)
}

// Felt takes a node's pulse; false if the node is not known as whole as it was when
// that was told. Until it is told whole it stays as it was, its backends with it.
func (f *Feed) Felt(p membership.Pulse, now time.Duration) bool {
	n, ok := f.nodes[p.Addr]
	if !ok || n.Boot != p.Boot {
		return false
	}
	f.heard[p.Addr] = now
	if n.Rev == p.Rev && n.Turn <= p.Turn {
		f.nodes[p.Addr] = n.Take(p)
	}
	return n.Rev >= p.Rev
}

// Wake comes before anything else that happens. After a gap in the ticks (a
// freeze) the feed starts anew: nobody could be heard meanwhile, and what piled
// up must not be answered from what was known before.
func (f *Feed) Wake(now time.Duration) {
	if now-f.last > goneAfter/2 {
		*f = Feed{ID: f.ID + 1, word: f.word, version: f.version, versions: f.versions, nodes: map[string]membership.Node{}, heard: map[string]time.Duration{}, departed: f.departed, open: now + SettleIn, last: now}
	}
}

// nodeItem is a node as followers get it: without what only cores sum up.
func nodeItem(n membership.Node) Item {
	n.Budgets, n.Accuses, n.Open, n.Departed, n.Turn = nil, nil, nil, nil, 0
	return Item{Node: &n}
}

// Tick takes out silent nodes; true if there was news.
func (f *Feed) Tick(now time.Duration) bool {
	f.last = now
	f.drained(now)
	news := false
	for _, addr := range slices.Sorted(maps.Keys(f.nodes)) {
		silent := now - f.heard[addr]
		if silent > goneAfter || silent > quiet && f.agreed(addr) {
			delete(f.nodes, addr)
			delete(f.heard, addr)
			f.add(Item{Gone: addr})
			news = true
		}
	}
	return news
}

// Open tells whether the feed may be served yet.
func (f *Feed) Open(now time.Duration) bool { return now >= f.open }

// Since answers a follower; fresh is false when there is nothing new for it.
func (f *Feed) Since(q Follow) (n News, fresh bool) {
	n = News{Feed: f.ID, Place: f.place}
	first := f.place - uint64(len(f.items))
	if q.Feed == f.ID && q.Place >= first && q.Place <= f.place {
		n.Items = slices.DeleteFunc(slices.Clone(f.items[q.Place-first:]), Item.overtaken)
		fresh = len(n.Items) > 0
		n.Items = f.told(n.Items, q.Has)
		return n, fresh
	}
	n.Snapshot = true
	if f.word != nil {
		n.Items = f.told([]Item{{Word: f.word}}, q.Has)
	}
	for _, addr := range slices.Sorted(maps.Keys(f.nodes)) {
		n.Items = append(n.Items, nodeItem(f.nodes[addr]))
	}
	return n, true
}

// told is a list of items as a follower is told them that has a configuration already: the
// newest by its difference, or not at all if it has that.
func (f *Feed) told(items []Item, has []byte) []Item {
	i := slices.IndexFunc(items, func(it Item) bool { return it.Word != nil })
	if i < 0 || len(has) != len(f.version.Fingerprint) {
		return items
	}
	base := config.Fingerprint(has)
	if base == f.version.Fingerprint {
		return slices.Delete(items, i, i+1)
	}
	if p, short := f.versions.Tell(f.version, base); short {
		items[i] = Item{Patch: &p}
	}
	return items
}

// Word is the newest majority-held word, if any.
func (f *Feed) Word() *config.Word { return f.word }

// Nodes lists the known nodes by address.
func (f *Feed) Nodes() []membership.Node {
	var out []membership.Node
	for _, addr := range slices.Sorted(maps.Keys(f.nodes)) {
		out = append(out, f.nodes[addr])
	}
	return out
}

// Budgets lists each node's newest tally.
func (f *Feed) Budgets() (out []map[string]retrybudget.Tally) {
	for _, n := range f.nodes {
		out = append(out, n.Budgets)
	}
	return out
}

// agreed tells whether enough watchers accuse a node.
func (f *Feed) agreed(addr string) bool {
	n := 0
	for _, w := range f.nodes {
		for _, a := range w.Accuses {
			if a.Against(f.nodes[addr]) {
				n++
			}
		}
	}
	return n > 0 && n >= min(agreed, len(f.nodes)-1)
}

// Accused lists the accused nodes with the incarnations to refute.
func (f *Feed) Accused() map[string]uint64 {
	out := map[string]uint64{}
	for _, w := range f.nodes {
		for _, a := range w.Accuses {
			if n, ok := f.nodes[a.Addr]; ok && a.Against(n) {
				out[a.Addr] = max(out[a.Addr], a.Inc)
			}
		}
	}
	return out
}
