package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// caller is a sidecar of a fleet without cores, as far as the roll call goes.
type caller struct {
	*Rollcall
	mu    sync.Mutex // of what follows, up to the host
	nodes map[string]Node
	word  *config.Word
	takes int
	sure  time.Time
	host  *transport.Host
	clock *clock
	end   context.CancelFunc // of its process
	view  *View              // of nodes, if they have not changed since
}

func (c *caller) met(n Node) {
	c.nodes[n.Addr], c.view = n, nil
}

// clock is a fleet's common one.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Time { return noon.Add(time.Duration(c.at.Load())) }

// coreless is a fleet of sidecars that all find that no majority of cores lives.
func coreless(t *testing.T, size int) []*caller {
	ctx, cancel := context.WithCancel(t.Context())
	l := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	t.Cleanup(func() {
		cancel()
		<-l.Idle()
	})
	watch := &clock{}
	var fleet []*caller
	for i := range size {
		ip := fmt.Sprintf("127.61.%d.%d", i/200, i%200+1)
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		c := &caller{Rollcall: NewRollcall(), nodes: map[string]Node{}}
		c.Own, c.now, c.within, c.clock = ln.Addr().String(), watch.now, time.Minute, watch
		own := transport.Greeting{Version: transport.Version, Node: c.Own}
		c.Net, c.Launcher = transport.NewNet(l, own, nil), l
		self := Node{Addr: c.Own, Boot: uint64(i) + 1<<60, Rev: 3, Zone: "north", Backends: []Backend{{Service: "orders", Instance: "orders-" + ip, Address: ip + ":8000", Zone: "north", Capacity: 9}}}
		c.nodes[c.Own] = self
		c.Node = func() Node {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.word != nil {
				self.Stamp = c.word.Stamp
			}
			return self
		}
		c.View = func() *View {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.view == nil {
				c.view = NewView(c.nodes, nil)
			}
			return c.view
		}
		core := Seat{Slot: 1, Slots: 1, Addr: "127.0.0.1:1", Set: []int{1}}
		c.Seats = func() Seats { return Seats{}.Hear(core, noon.Add(-time.Hour)).Refused(core.Addr, watch.now()) }
		c.Word = func() *config.Word {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.word
		}
		c.Seeds = func() []string { return nil }
		c.News = func(time.Time) time.Duration { return time.Hour }
		c.Take = func(_ context.Context, f Found) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.takes++
			if f.Word != nil && (c.word == nil || f.Word.Stamp > c.word.Stamp) {
				c.word = f.Word
			}
			for _, n := range f.Nodes {
				c.met(n)
			}
			for addr := range f.Dead {
				delete(c.nodes, addr)
				c.view = nil
			}
		}
		c.Sure = func(asOf time.Time) { c.sure = asOf }
		c.host = &transport.Host{Own: own, Launcher: l, Listener: ln, Handlers: map[string]transport.Handler{KindGossip: c.Answer}}
		var life context.Context
		life, c.end = context.WithCancel(ctx)
		l.Go(life, "net", c.Net.Run)
		l.Go(life, "host", c.host.Run)
		fleet = append(fleet, c)
	}
	return fleet
}

// round lets each of a fleet ask once, and returns what one did on average: the calls,
// and the bytes of these and their responses.
func round(t *testing.T, fleet []*caller) (calls, bytes float64) {
	before := map[*caller]transport.Count{}
	for _, c := range fleet {
		before[c], c.takes = c.Net.Counts.Read()[KindGossip], 0
	}
	fleet[0].clock.at.Add(int64(Beat))
	var all sync.WaitGroup
	for _, c := range fleet {
		all.Go(func() { c.round(t.Context()) })
	}
	all.Wait()
	for _, c := range fleet {
		now, was := c.Net.Counts.Read()[KindGossip], before[c]
		if n := now.Calls - was.Calls; n > 4 {
			t.Errorf("%d calls in one round", n)
		}
		if c.takes > 1 {
			t.Errorf("one round's finds were handed on %d times", c.takes)
		}
		calls += float64(now.Calls-was.Calls) / float64(len(fleet))
		bytes += float64(now.CallBytes+now.ResponseBytes-was.CallBytes-was.ResponseBytes) / float64(len(fleet))
	}
	return calls, bytes
}

// Without cores a beat costs a sidecar a few calls, and bytes that grow with the number
// of sidecars and no faster; all the same each is sure, by a majority, within a few
// beats, and stays so.
func TestRollcallIsBounded(t *testing.T) {
	for _, size := range []int{12, 88, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			fleet := coreless(t, size)
			for _, c := range fleet {
				c.word = &config.Word{Stamp: 7}
				for _, o := range fleet {
					c.met(o.nodes[o.Own])
				}
			}
			unsure, rounds := len(fleet), 0
			for ; unsure > 0 && rounds < 8; rounds++ {
				calls, bytes := round(t, fleet)
				t.Logf("%d sidecars, round %d: %.3f calls and %.0f bytes by each", size, rounds+1, calls, bytes)
				if calls > 3.1 || bytes > float64(3*(400+70*size)) {
					t.Errorf("%.1f calls, %.0f bytes", calls, bytes)
				}
				unsure = 0
				for _, c := range fleet {
					if c.sure.IsZero() {
						unsure++
					}
				}
			}
			if unsure > 0 {
				t.Errorf("%d of %d are not sure after %d rounds", unsure, size, rounds)
			}
			if rounds > 6 {
				t.Errorf("%d rounds until all were sure", rounds)
			}
			// Each goes on being sure, as of later.
			before, renewed := fleet[0].now(), 0
			for again := 0; renewed < size && again < 8; again++ {
				round(t, fleet)
				renewed = 0
				for _, c := range fleet {
					if c.sure.After(before) {
						renewed++
					}
				}
			}
			if renewed < size {
				t.Errorf("%d of %d were sure again", renewed, size)
			}
		})
	}
}

// A sidecar that knows of nobody but a seed has the word and all nodes after a few
// rounds, and all others have it; a newer word that one has reaches all.
func TestRollcallSpreads(t *testing.T) {
	fleet := coreless(t, 88)
	late := fleet[len(fleet)-1]
	late.Seeds = func() []string { return []string{fleet[0].Own} }
	for _, c := range fleet[:len(fleet)-1] {
		c.word = &config.Word{Stamp: 7}
		for _, o := range fleet[:len(fleet)-1] {
			c.met(o.nodes[o.Own])
		}
	}
	fleet[5].word = &config.Word{Stamp: 8, Desired: []byte(strings.Repeat("x", 60000))}
	for range 8 {
		round(t, fleet)
	}
	for _, c := range fleet {
		if len(c.nodes) != len(fleet) || c.word == nil || c.word.Stamp != 8 {
			t.Errorf("%s knows %d nodes and the word %v", c.Own, len(c.nodes), c.word != nil && c.word.Stamp == 8)
		}
	}
}

// One whose process is gone is taken out everywhere, and counts among those that agree;
// one that is silent does not, and without a majority nobody is sure.
func TestRollcallOfTheDead(t *testing.T) {
	fleet := coreless(t, 11)
	for _, c := range fleet {
		c.word = &config.Word{Stamp: 7}
		for _, o := range fleet {
			c.met(o.nodes[o.Own])
		}
	}
	// Six are cut off, as if their answers were lost.
	for _, c := range fleet[5:] {
		c.host.Handlers[KindGossip] = func(context.Context, transport.Request) (any, string) { return nil, "lost" }
	}
	for range 6 {
		round(t, fleet[:5])
	}
	for _, c := range fleet[:5] {
		if !c.sure.IsZero() {
			t.Errorf("%s is sure with five of eleven", c.Own)
		}
	}
	// Two of the six die: their machines refuse.
	for _, c := range fleet[9:] {
		c.end()
	}
	for range 8 {
		round(t, fleet[:5])
	}
	for _, c := range fleet[:5] {
		if c.sure.IsZero() || len(c.nodes) != 9 {
			t.Errorf("%s is sure as of %v and knows %d", c.Own, c.sure, len(c.nodes))
		}
	}
}

// A word is asked of one sidecar at a time, and its configuration is left out for who
// has that already: changes of the cores' set cost little.
func TestWordIsFetchedOnce(t *testing.T) {
	fleet := coreless(t, 5)
	configuration := []byte(strings.Repeat("x", 60000))
	for _, c := range fleet {
		c.word = &config.Word{Stamp: 8, DesiredStamp: 7, Desired: configuration}
		for _, o := range fleet {
			c.met(o.nodes[o.Own])
		}
	}
	fleet[0].word = &config.Word{Stamp: 7, DesiredStamp: 7, Desired: configuration}
	fleet[1].word = nil
	for i, most := range []uint64{5000, 70000} {
		before := fleet[i].Net.Counts.Read()[KindGossip]
		fleet[i].round(t.Context())
		after := fleet[i].Net.Counts.Read()[KindGossip]
		if w := fleet[i].word; w == nil || w.Stamp != 8 || string(w.Desired) != string(configuration) {
			t.Errorf("%d has the word: %v", i, w != nil && w.Stamp == 8)
		}
		if got := after.ResponseBytes - before.ResponseBytes; got > most {
			t.Errorf("%d was answered %d bytes", i, got)
		}
	}
}
