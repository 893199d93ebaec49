package membership

import (
	"context"
	"errors"
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

// testSidecar is a sidecar that no control plane replica delivers updates to.
type testSidecar struct {
	*Gossiper
	server *transport.Server
	clock  *clock
	stop   context.CancelFunc // ends its process

	mu        sync.Mutex // guards the following fields
	nodes     map[string]Node
	view      *View // of nodes; nil if they have changed since
	state     *config.ControlState
	updates   int
	confirmed time.Time
}

func (s *testSidecar) addNode(n Node) {
	s.nodes[n.Addr], s.view = n, nil
}

// currentView is the Gossiper's View.
func (s *testSidecar) currentView() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		s.view = NewView(s.nodes, nil)
	}
	return s.view
}

// currentState is the Gossiper's State.
func (s *testSidecar) currentState() *config.ControlState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// apply is the Gossiper's OnUpdate.
func (s *testSidecar) apply(_ context.Context, update GossipUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates++
	if update.State != nil && (s.state == nil || update.State.Revision > s.state.Revision) {
		s.state = update.State
	}
	for _, n := range update.Nodes {
		s.addNode(n)
	}
	for addr := range update.Dead {
		delete(s.nodes, addr)
		s.view = nil
	}
}

// clock is the clock of all sidecars of a test.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Time { return noon.Add(time.Duration(c.at.Load())) }

// newSidecarsWithoutReplicas starts sidecars that all find that no majority of the members lives.
func newSidecarsWithoutReplicas(t *testing.T, size int) []*testSidecar {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	t.Cleanup(func() {
		cancel()
		<-actors.Done()
	})
	common := &clock{}
	var sidecars []*testSidecar
	for i := range size {
		sidecars = append(sidecars, startSidecar(ctx, t, actors, common, i))
	}
	return sidecars
}

// startSidecar starts the sidecar with an index.
func startSidecar(ctx context.Context, t *testing.T, actors *actor.System, clock *clock, index int) *testSidecar {
	t.Helper()
	ip := fmt.Sprintf("127.61.%d.%d", index/200, index%200+1)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testSidecar{clock: clock, nodes: map[string]Node{}}
	addr := listener.Addr().String()
	hello := transport.Hello{Version: transport.ProtocolVersion, Node: addr}
	self := Node{
		Addr: addr, Incarnation: uint64(index) + 1<<60, Version: 3, Zone: "north",
		Backends: []Backend{{Service: "orders", Instance: "orders-" + ip, Address: ip + ":8000", Zone: "north", Capacity: 9}},
	}
	s.nodes[addr] = self
	dead := Replica{MemberID: 1, MemberCount: 1, Addr: "127.0.0.1:1", Members: []int{1}}
	s.Gossiper = NewGossiper(addr, GossiperDeps{
		Client: transport.NewClient(actors, hello, nil),
		Actors: actors,
		Node: func() Node {
			node := self
			if state := s.currentState(); state != nil {
				node.AppliedRevision = state.Revision
			}
			return node
		},
		View: s.currentView,
		Replicas: func() ReplicaTable {
			return ReplicaTable{}.Observe(dead, noon.Add(-time.Hour)).Refused(dead.Addr, clock.now())
		},
		State:       s.currentState,
		Seeds:       func() []string { return nil },
		UpdateAge:   func(time.Time) time.Duration { return time.Hour },
		OnUpdate:    s.apply,
		OnConfirmed: func(asOf time.Time) { s.confirmed = asOf },
	})
	s.now, s.roundTimeout = clock.now, time.Minute
	s.server = &transport.Server{Hello: hello, Actors: actors, Listener: listener, Handlers: map[string]transport.Handler{KindGossip: s.HandleGossip}}
	processCtx, stop := context.WithCancel(ctx)
	s.stop = stop
	actors.Go(processCtx, "client", s.Client.Run)
	actors.Go(processCtx, "server", s.server.Run)
	return s
}

// gossipRound runs a round of each sidecar at the same time, and returns what one did on average:
// its calls, and the bytes of these and their responses.
func gossipRound(t *testing.T, sidecars []*testSidecar) (calls, bytes float64) {
	t.Helper()
	before := map[*testSidecar]transport.CallCounts{}
	for _, s := range sidecars {
		before[s], s.updates = s.Client.Counters.Snapshot()[KindGossip], 0
	}
	sidecars[0].clock.at.Add(int64(HeartbeatInterval))
	var all sync.WaitGroup
	for _, s := range sidecars {
		all.Go(func() { s.round(t.Context()) })
	}
	all.Wait()
	for _, s := range sidecars {
		now, was := s.Client.Counters.Snapshot()[KindGossip], before[s]
		if n := now.Calls - was.Calls; n > 4 {
			t.Errorf("%d calls in one round", n)
		}
		if s.updates > 1 {
			t.Errorf("OnUpdate was called %d times in one round", s.updates)
		}
		calls += float64(now.Calls-was.Calls) / float64(len(sidecars))
		bytes += float64(now.CallBytes+now.ResponseBytes-was.CallBytes-was.ResponseBytes) / float64(len(sidecars))
	}
	return calls, bytes
}

// Without replicas a round costs a sidecar a few calls, and bytes that grow with the number of
// sidecars and no faster; all the same a majority confirms each one's control state within a few
// rounds, and goes on doing so.
func TestGossipIsBounded(t *testing.T) {
	for _, size := range []int{12, 88, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			sidecars := newSidecarsWithoutReplicas(t, size)
			for _, s := range sidecars {
				s.state = &config.ControlState{Revision: 7}
				for _, o := range sidecars {
					s.addNode(o.nodes[o.addr])
				}
			}
			unconfirmed, rounds := len(sidecars), 0
			for ; unconfirmed > 0 && rounds < 8; rounds++ {
				calls, bytes := gossipRound(t, sidecars)
				t.Logf("%d sidecars, round %d: %.3f calls and %.0f bytes by each", size, rounds+1, calls, bytes)
				if calls > 3.1 || bytes > float64(3*(400+70*size)) {
					t.Errorf("%.1f calls, %.0f bytes", calls, bytes)
				}
				unconfirmed = 0
				for _, s := range sidecars {
					if s.confirmed.IsZero() {
						unconfirmed++
					}
				}
			}
			if unconfirmed > 0 {
				t.Errorf("%d of %d are not confirmed after %d rounds", unconfirmed, size, rounds)
			}
			if rounds > 6 {
				t.Errorf("%d rounds until all were confirmed", rounds)
			}
			// Each is confirmed again, as of later.
			before, renewed := sidecars[0].now(), 0
			for again := 0; renewed < size && again < 8; again++ {
				gossipRound(t, sidecars)
				renewed = 0
				for _, s := range sidecars {
					if s.confirmed.After(before) {
						renewed++
					}
				}
			}
			if renewed < size {
				t.Errorf("%d of %d were confirmed again", renewed, size)
			}
		})
	}
}

// A sidecar that knows only a seed has the control state and all nodes after a few rounds, and all
// others know it; a newer control state that one of them has reaches all.
func TestGossipSpreads(t *testing.T) {
	sidecars := newSidecarsWithoutReplicas(t, 88)
	late := sidecars[len(sidecars)-1]
	late.Seeds = func() []string { return []string{sidecars[0].addr} }
	for _, s := range sidecars[:len(sidecars)-1] {
		s.state = &config.ControlState{Revision: 7}
		for _, o := range sidecars[:len(sidecars)-1] {
			s.addNode(o.nodes[o.addr])
		}
	}
	sidecars[5].state = &config.ControlState{Revision: 8, Configuration: []byte(strings.Repeat("x", 60000))}
	for range 8 {
		gossipRound(t, sidecars)
	}
	for _, s := range sidecars {
		if len(s.nodes) != len(sidecars) || s.state == nil || s.state.Revision != 8 {
			t.Errorf("%s knows %d nodes, has the newest control state: %v", s.addr, len(s.nodes), s.state != nil && s.state.Revision == 8)
		}
	}
}

// A sidecar whose process is gone is removed everywhere and counts among those that confirm; one
// that is silent does not, and without a majority no control state is confirmed.
func TestGossipOfDeadNodes(t *testing.T) {
	sidecars := newSidecarsWithoutReplicas(t, 11)
	for _, s := range sidecars {
		s.state = &config.ControlState{Revision: 7}
		for _, o := range sidecars {
			s.addNode(o.nodes[o.addr])
		}
	}
	// Six are partitioned, as if their responses were lost.
	for _, s := range sidecars[5:] {
		s.server.Handlers[KindGossip] = func(context.Context, transport.Request) (any, error) { return nil, errors.New("lost") }
	}
	for range 6 {
		gossipRound(t, sidecars[:5])
	}
	for _, s := range sidecars[:5] {
		if !s.confirmed.IsZero() {
			t.Errorf("%s is confirmed by five of eleven", s.addr)
		}
	}
	// Two of the six die: their addresses refuse connections.
	for _, s := range sidecars[9:] {
		s.stop()
	}
	for range 8 {
		gossipRound(t, sidecars[:5])
	}
	for _, s := range sidecars[:5] {
		if s.confirmed.IsZero() || len(s.nodes) != 9 {
			t.Errorf("%s is confirmed as of %v and knows %d", s.addr, s.confirmed, len(s.nodes))
		}
	}
}

// A control state is fetched from one sidecar at a time, and its configuration is left out for a
// sidecar that has that: changes of the members cost little.
func TestStateIsFetchedOnce(t *testing.T) {
	sidecars := newSidecarsWithoutReplicas(t, 5)
	configuration := []byte(strings.Repeat("x", 60000))
	for _, s := range sidecars {
		s.state = &config.ControlState{Revision: 8, ConfigurationRevision: 7, Configuration: configuration}
		for _, o := range sidecars {
			s.addNode(o.nodes[o.addr])
		}
	}
	sidecars[0].state = &config.ControlState{Revision: 7, ConfigurationRevision: 7, Configuration: configuration}
	sidecars[1].state = nil
	for i, most := range []uint64{5000, 70000} {
		before := sidecars[i].Client.Counters.Snapshot()[KindGossip]
		sidecars[i].round(t.Context())
		after := sidecars[i].Client.Counters.Snapshot()[KindGossip]
		if state := sidecars[i].state; state == nil || state.Revision != 8 || string(state.Configuration) != string(configuration) {
			t.Errorf("%d has the control state: %v", i, state != nil && state.Revision == 8)
		}
		if got := after.ResponseBytes - before.ResponseBytes; got > most {
			t.Errorf("the response to %d has %d bytes", i, got)
		}
	}
}
