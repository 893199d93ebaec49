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

// testSidecar is a sidecar of a fleet without cores, as far as the roll call goes.
type testSidecar struct {
	*Gossiper
	mu        sync.Mutex // of what follows, up to the host
	nodes     map[string]Node
	state     *config.ControlState
	updates   int
	confirmed time.Time
	server    *transport.Server
	clock     *clock
	stop      context.CancelFunc // of its process
	view      *View              // of nodes, if they have not changed since
}

func (c *testSidecar) addNode(n Node) {
	c.nodes[n.Addr], c.view = n, nil
}

// clock is a fleet's common one.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Time { return noon.Add(time.Duration(c.at.Load())) }

// newSidecarsWithoutReplicas is a fleet of sidecars that all find that no majority of cores lives.
func newSidecarsWithoutReplicas(t *testing.T, size int) []*testSidecar {
	ctx, cancel := context.WithCancel(t.Context())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	t.Cleanup(func() {
		cancel()
		<-actors.Done()
	})
	watch := &clock{}
	var fleet []*testSidecar
	for i := range size {
		ip := fmt.Sprintf("127.61.%d.%d", i/200, i%200+1)
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		c := &testSidecar{Gossiper: NewGossiper(), nodes: map[string]Node{}}
		c.Addr, c.now, c.roundTimeout, c.clock = ln.Addr().String(), watch.now, time.Minute, watch
		own := transport.Hello{Version: transport.ProtocolVersion, Node: c.Addr}
		c.Client, c.Actors = transport.NewClient(actors, own, nil), actors
		self := Node{Addr: c.Addr, Incarnation: uint64(i) + 1<<60, Version: 3, Zone: "north", Backends: []Backend{{Service: "orders", Instance: "orders-" + ip, Address: ip + ":8000", Zone: "north", Capacity: 9}}}
		c.nodes[c.Addr] = self
		c.Node = func() Node {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.state != nil {
				self.AppliedRevision = c.state.Revision
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
		core := Replica{MemberID: 1, MemberCount: 1, Addr: "127.0.0.1:1", Members: []int{1}}
		c.Replicas = func() ReplicaTable {
			return ReplicaTable{}.Observe(core, noon.Add(-time.Hour)).Refused(core.Addr, watch.now())
		}
		c.State = func() *config.ControlState {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state
		}
		c.Seeds = func() []string { return nil }
		c.UpdateAge = func(time.Time) time.Duration { return time.Hour }
		c.OnUpdate = func(_ context.Context, f GossipUpdate) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.updates++
			if f.State != nil && (c.state == nil || f.State.Revision > c.state.Revision) {
				c.state = f.State
			}
			for _, n := range f.Nodes {
				c.addNode(n)
			}
			for addr := range f.Dead {
				delete(c.nodes, addr)
				c.view = nil
			}
		}
		c.OnConfirmed = func(asOf time.Time) { c.confirmed = asOf }
		c.server = &transport.Server{Hello: own, Actors: actors, Listener: ln, Handlers: map[string]transport.Handler{KindGossip: c.HandleGossip}}
		var life context.Context
		life, c.stop = context.WithCancel(ctx)
		actors.Go(life, "net", c.Client.Run)
		actors.Go(life, "host", c.server.Run)
		fleet = append(fleet, c)
	}
	return fleet
}

// gossipRound lets each of a fleet ask once, and returns what one did on average: the calls,
// and the bytes of these and their responses.
func gossipRound(t *testing.T, fleet []*testSidecar) (calls, bytes float64) {
	before := map[*testSidecar]transport.CallCounts{}
	for _, c := range fleet {
		before[c], c.updates = c.Client.Counters.Snapshot()[KindGossip], 0
	}
	fleet[0].clock.at.Add(int64(HeartbeatInterval))
	var all sync.WaitGroup
	for _, c := range fleet {
		all.Go(func() { c.round(t.Context()) })
	}
	all.Wait()
	for _, c := range fleet {
		now, was := c.Client.Counters.Snapshot()[KindGossip], before[c]
		if n := now.Calls - was.Calls; n > 4 {
			t.Errorf("%d calls in one round", n)
		}
		if c.updates > 1 {
			t.Errorf("one round's finds were handed on %d times", c.updates)
		}
		calls += float64(now.Calls-was.Calls) / float64(len(fleet))
		bytes += float64(now.CallBytes+now.ResponseBytes-was.CallBytes-was.ResponseBytes) / float64(len(fleet))
	}
	return calls, bytes
}

// Without cores a beat costs a sidecar a few calls, and bytes that grow with the number
// of sidecars and no faster; all the same each is sure, by a majority, within a few
// beats, and stays so.
func TestGossipIsBounded(t *testing.T) {
	for _, size := range []int{12, 88, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			fleet := newSidecarsWithoutReplicas(t, size)
			for _, c := range fleet {
				c.state = &config.ControlState{Revision: 7}
				for _, o := range fleet {
					c.addNode(o.nodes[o.Addr])
				}
			}
			unsure, rounds := len(fleet), 0
			for ; unsure > 0 && rounds < 8; rounds++ {
				calls, bytes := gossipRound(t, fleet)
				t.Logf("%d sidecars, round %d: %.3f calls and %.0f bytes by each", size, rounds+1, calls, bytes)
				if calls > 3.1 || bytes > float64(3*(400+70*size)) {
					t.Errorf("%.1f calls, %.0f bytes", calls, bytes)
				}
				unsure = 0
				for _, c := range fleet {
					if c.confirmed.IsZero() {
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
				gossipRound(t, fleet)
				renewed = 0
				for _, c := range fleet {
					if c.confirmed.After(before) {
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
func TestGossipSpreads(t *testing.T) {
	fleet := newSidecarsWithoutReplicas(t, 88)
	late := fleet[len(fleet)-1]
	late.Seeds = func() []string { return []string{fleet[0].Addr} }
	for _, c := range fleet[:len(fleet)-1] {
		c.state = &config.ControlState{Revision: 7}
		for _, o := range fleet[:len(fleet)-1] {
			c.addNode(o.nodes[o.Addr])
		}
	}
	fleet[5].state = &config.ControlState{Revision: 8, Configuration: []byte(strings.Repeat("x", 60000))}
	for range 8 {
		gossipRound(t, fleet)
	}
	for _, c := range fleet {
		if len(c.nodes) != len(fleet) || c.state == nil || c.state.Revision != 8 {
			t.Errorf("%s knows %d nodes and the word %v", c.Addr, len(c.nodes), c.state != nil && c.state.Revision == 8)
		}
	}
}

// One whose process is gone is taken out everywhere, and counts among those that agree;
// one that is silent does not, and without a majority nobody is sure.
func TestGossipOfDeadNodes(t *testing.T) {
	fleet := newSidecarsWithoutReplicas(t, 11)
	for _, c := range fleet {
		c.state = &config.ControlState{Revision: 7}
		for _, o := range fleet {
			c.addNode(o.nodes[o.Addr])
		}
	}
	// Six are cut off, as if their answers were lost.
	for _, c := range fleet[5:] {
		c.server.Handlers[KindGossip] = func(context.Context, transport.Request) (any, string) { return nil, "lost" }
	}
	for range 6 {
		gossipRound(t, fleet[:5])
	}
	for _, c := range fleet[:5] {
		if !c.confirmed.IsZero() {
			t.Errorf("%s is sure with five of eleven", c.Addr)
		}
	}
	// Two of the six die: their machines refuse.
	for _, c := range fleet[9:] {
		c.stop()
	}
	for range 8 {
		gossipRound(t, fleet[:5])
	}
	for _, c := range fleet[:5] {
		if c.confirmed.IsZero() || len(c.nodes) != 9 {
			t.Errorf("%s is sure as of %v and knows %d", c.Addr, c.confirmed, len(c.nodes))
		}
	}
}

// A word is asked of one sidecar at a time, and its configuration is left out for who
// has that already: changes of the cores' set cost little.
func TestStateIsFetchedOnce(t *testing.T) {
	fleet := newSidecarsWithoutReplicas(t, 5)
	configuration := []byte(strings.Repeat("x", 60000))
	for _, c := range fleet {
		c.state = &config.ControlState{Revision: 8, ConfigurationRevision: 7, Configuration: configuration}
		for _, o := range fleet {
			c.addNode(o.nodes[o.Addr])
		}
	}
	fleet[0].state = &config.ControlState{Revision: 7, ConfigurationRevision: 7, Configuration: configuration}
	fleet[1].state = nil
	for i, most := range []uint64{5000, 70000} {
		before := fleet[i].Client.Counters.Snapshot()[KindGossip]
		fleet[i].round(t.Context())
		after := fleet[i].Client.Counters.Snapshot()[KindGossip]
		if w := fleet[i].state; w == nil || w.Revision != 8 || string(w.Configuration) != string(configuration) {
			t.Errorf("%d has the word: %v", i, w != nil && w.Revision == 8)
		}
		if got := after.ResponseBytes - before.ResponseBytes; got > most {
			t.Errorf("%d was answered %d bytes", i, got)
		}
	}
}
