package watch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

// teller is a sidecar that heartbeats one core.
type teller struct {
	node membership.Node
	talk membership.Talk
}

// letter is a heartbeat or its response, under way.
type letter struct {
	from     *teller
	boot     uint64
	told     membership.Heartbeat
	response *membership.Heartbeat
}

// talks is a core, whose version may be an old one, and the sidecars that heartbeat it.
type talks struct {
	t       *testing.T
	rng     *rand.Rand
	feed    *Feed
	now     time.Duration
	old     bool
	sides   []*teller
	letters []letter

	short, whole, asked int
}

func (*talks) backends(n membership.Node) []membership.Backend {
	return []membership.Backend{{Instance: fmt.Sprint(n.Boot, " ", n.Rev)}}
}

func (k *talks) boot(s *teller) {
	*s = teller{node: membership.Node{Addr: s.node.Addr, Boot: k.rng.Uint64()}}
	k.change(s)
}

func (k *talks) change(s *teller) {
	s.node.Rev++
	s.node.Backends = k.backends(s.node)
}

// tell sends a heartbeat off.
func (k *talks) tell(s *teller, due bool) letter {
	s.node.Turn++
	n := s.node
	told := s.talk.Tell(membership.Heartbeat{Node: &n, Digest: 7}, due)
	if told.Pulse != nil {
		k.short++
	} else {
		k.whole++
	}
	return letter{from: s, boot: n.Boot, told: told}
}

// reach has a heartbeat reach the core, as far as its version understands it.
func (k *talks) reach(l letter) letter {
	r := membership.Heartbeat{Digest: 7}
	switch {
	case l.told.Node != nil:
		k.feed.Told(*l.told.Node, k.now)
	case !k.old:
		r.Whole = !k.feed.Felt(*l.told.Pulse, k.now)
	}
	if k.old {
		r.Digest = 0
	}
	for _, n := range k.feed.Nodes() {
		if d := cmp.Diff(n.Backends, k.backends(n)); d != "" {
			k.t.Fatalf("a node with other backends: %s", d)
		}
	}
	l.response = &r
	return l
}

// back has a response come back; more is a heartbeat that goes off at once.
func (k *talks) back(l letter) (more letter, again bool) {
	s := l.from
	if l.boot != s.node.Boot {
		return letter{}, false // who had called is gone
	}
	s.talk, again = s.talk.Answered(l.told, *l.response)
	if !again {
		return letter{}, false
	}
	k.asked++
	return k.tell(s, false), true
}

// step brings one thing about.
func (k *talks) step() {
	k.now += 5 * time.Millisecond
	k.feed.Wake(k.now)
	k.feed.Tick(k.now)
	s := k.sides[k.rng.IntN(len(k.sides))]
	switch k.rng.IntN(200) {
	case 0:
		k.feed = New(k.rng.Uint64(), k.now) // the core starts anew, maybe in another version
		k.old = k.rng.IntN(4) == 0
	case 1:
		k.boot(s)
	case 2, 3:
		k.change(s)
	case 4, 5, 6:
		s.node.Inc++
	case 7, 8, 9:
		s.node.Stamp++
		s.node.Open = map[string]int64{"west": k.rng.Int64N(3)}
		s.node.Accuses = []membership.Accusation{{Addr: "x", Inc: s.node.Stamp}}[:k.rng.IntN(2)]
		s.node.Budgets = map[string]retrybudget.Tally{"c": {N: int64(s.node.Stamp)}}
	default:
		if len(k.letters) < 20 && k.rng.IntN(2) == 0 {
			k.letters = append(k.letters, k.tell(s, k.rng.IntN(4) == 0))
			return
		}
		if len(k.letters) == 0 {
			return
		}
		// Any letter under way arrives next, however old, or is lost.
		i := k.rng.IntN(len(k.letters))
		l := k.letters[i]
		k.letters = append(k.letters[:i:i], k.letters[i+1:]...)
		switch {
		case k.rng.IntN(5) == 0:
		case l.response == nil:
			k.letters = append(k.letters, k.reach(l))
		default:
			if more, again := k.back(l); again {
				k.letters = append(k.letters, more)
			}
		}
	}
}

func whereOpen(open map[string]int64) map[string]int64 {
	open = maps.Clone(open)
	maps.DeleteFunc(open, func(_ string, n int64) bool { return n == 0 })
	return open
}

// Through lost, late and overtaken heartbeats and responses, starts anew of the core and of
// sidecars, and a core that is of an older version for a while, a core never has a
// node with other backends than it told, and has what is newest of it after two heartbeats
// that are answered, whatever it told before arrives later.
func TestTalk(t *testing.T) {
	short, whole, asked := 0, 0, 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		k := &talks{t: t, rng: rng, feed: New(1, 0)}
		for i := range 3 {
			s := &teller{node: membership.Node{Addr: fmt.Sprint("node-", i)}}
			k.boot(s)
			k.sides = append(k.sides, s)
		}
		for range 2000 {
			k.step()
			if rng.IntN(20) > 0 {
				continue
			}
			// Two heartbeats of one are answered, at once after one another.
			s := k.sides[rng.IntN(len(k.sides))]
			l, again := k.back(k.reach(k.tell(s, true)))
			if !again {
				l = k.tell(s, true)
			}
			if _, again = k.back(k.reach(l)); again {
				t.Fatalf("seed %d: a third heartbeat is asked for", seed)
			}
			// What it told before and what comes only now changes nothing any more.
			k.letters = slices.DeleteFunc(k.letters, func(l letter) bool {
				late := l.from == s && l.boot == s.node.Boot && l.response == nil
				if late {
					k.reach(l)
				}
				return late
			})
			got, want := k.feed.nodes[s.node.Addr], s.node
			want.Open, got.Open = whereOpen(want.Open), whereOpen(got.Open)
			if d := cmp.Diff(want, got, cmpopts.EquateEmpty()); d != "" {
				t.Fatalf("seed %d, at %v: %s", seed, k.now, d)
			}
		}
		short, whole, asked = short+k.short, whole+k.whole, asked+k.asked
	}
	t.Logf("%d short heartbeats, %d whole ones, %d of them asked for", short, whole, asked)
	if asked == 0 || short == 0 {
		t.Errorf("%d short heartbeats, %d whole ones, %d of them asked for", short, whole, asked)
	}
}
