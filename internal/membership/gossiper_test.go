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

// testSidecar is a sidecar that receives no updates from a control plane replica.
type testSidecar struct {
	*Gossiper
	server *transport.Server
	clock  *clock
	stop   context.CancelFunc // ends the sidecar's process

	mu        sync.Mutex // guards the following fields
	nodes     map[string]Node
	view      *View // of nodes; nil if nodes has changed since
	state     *config.ControlState
	updates   int
	confirmed time.Time
}

func (s *testSidecar) addNode(n Node) {
	s.nodes[n.Addr], s.view = n, nil
}

// currentView implements GossiperDeps.View.
func (s *testSidecar) currentView() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		s.view = NewView(s.nodes, nil)
	}
	return s.view
}

// currentState implements GossiperDeps.State.
func (s *testSidecar) currentState() *config.ControlState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// apply implements GossiperDeps.OnUpdate.
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

// clock is the simulated clock that all sidecars of a test share.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Time { return noon.Add(time.Duration(c.at.Load())) }

// newSidecarsWithoutReplicas starts sidecars that all determine that the quorum is lost.
func newSidecarsWithoutReplicas(t *testing.T, size int) []*testSidecar {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	t.Cleanup(func() {
		cancel()
		<-actors.Done()
	})
	shared := &clock{}
	var sidecars []*testSidecar
	for i := range size {
		sidecars = append(sidecars, startSidecar(ctx, t, actors, shared, i))
	}
	return sidecars
}

// startSidecar starts the sidecar with the given index.
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
			return ReplicaTable{}.Observe(dead, noon.Add(-time.Hour)).RecordRefusal(dead.Addr, clock.now())
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

// gossipRound runs one round of all sidecars concurrently. It returns the average number of calls
// per sidecar, and the average number of bytes of these calls and their responses.
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
		after, previous := s.Client.Counters.Snapshot()[KindGossip], before[s]
		if n := after.Calls - previous.Calls; n > 4 {
			t.Errorf("%d calls in one round, want at most 4", n)
		}
		if s.updates > 1 {
			t.Errorf("OnUpdate was called %d times in one round, want at most once", s.updates)
		}
		calls += float64(after.Calls-previous.Calls) / float64(len(sidecars))
		bytes += float64(after.CallBytes+after.ResponseBytes-previous.CallBytes-previous.ResponseBytes) / float64(len(sidecars))
	}
	return calls, bytes
}

// TestGossipIsBounded checks the cost of a round without replicas: a few calls per sidecar, and a
// number of bytes at most linear in the number of sidecars. Within a few rounds, a majority must
// nevertheless confirm the control state of each sidecar, and confirm it again later.
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
				t.Logf("%d sidecars, round %d: %.3f calls and %.0f bytes per sidecar", size, rounds+1, calls, bytes)
				if calls > 3.1 || bytes > float64(3*(400+70*size)) {
					t.Errorf("%.1f calls and %.0f bytes per sidecar, want at most 3.1 calls and 1200 bytes plus 210 per sidecar", calls, bytes)
				}
				unconfirmed = 0
				for _, s := range sidecars {
					if s.confirmed.IsZero() {
						unconfirmed++
					}
				}
			}
			if unconfirmed > 0 {
				t.Errorf("%d of %d sidecars are not confirmed after %d rounds", unconfirmed, size, rounds)
			}
			if rounds > 6 {
				t.Errorf("%d rounds until all sidecars were confirmed, want at most 6", rounds)
			}
			// Each sidecar is confirmed again, as of a later time.
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
				t.Errorf("%d of %d sidecars were confirmed again, want all", renewed, size)
			}
		})
	}
}

// TestGossipSpreads checks that a sidecar that knows only a seed receives the control state and all
// nodes within a few rounds, and that all other sidecars learn of it. A newer control state at one
// sidecar must reach all others.
func TestGossipSpreads(t *testing.T) {
	sidecars := newSidecarsWithoutReplicas(t, 88)
	newcomer := sidecars[len(sidecars)-1]
	newcomer.Seeds = func() []string { return []string{sidecars[0].addr} }
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
			t.Errorf("%s knows %d nodes, want all; has the newest control state: %v, want true", s.addr, len(s.nodes), s.state != nil && s.state.Revision == 8)
		}
	}
}

// TestGossipOfDeadNodes checks that a sidecar whose process has ended is removed everywhere and
// counts as confirming. A sidecar that does not respond does not count as confirming, and without a
// majority no control state is confirmed.
func TestGossipOfDeadNodes(t *testing.T) {
	sidecars := newSidecarsWithoutReplicas(t, 11)
	for _, s := range sidecars {
		s.state = &config.ControlState{Revision: 7}
		for _, o := range sidecars {
			s.addNode(o.nodes[o.addr])
		}
	}
	// Six sidecars are partitioned, as if their responses were lost.
	for _, s := range sidecars[5:] {
		s.server.Handlers[KindGossip] = func(context.Context, transport.Request) (any, error) { return nil, errors.New("lost") }
	}
	for range 6 {
		gossipRound(t, sidecars[:5])
	}
	for _, s := range sidecars[:5] {
		if !s.confirmed.IsZero() {
			t.Errorf("%s is confirmed by five of eleven sidecars", s.addr)
		}
	}
	// Two of the six processes end: their addresses refuse connections.
	for _, s := range sidecars[9:] {
		s.stop()
	}
	for range 8 {
		gossipRound(t, sidecars[:5])
	}
	for _, s := range sidecars[:5] {
		if s.confirmed.IsZero() || len(s.nodes) != 9 {
			t.Errorf("%s is confirmed as of %v and knows %d nodes, want a confirmation and 9 nodes", s.addr, s.confirmed, len(s.nodes))
		}
	}
}

// TestStateIsFetchedOnce checks that a control state is fetched from a single sidecar, and that it
// is sent without its configuration to a sidecar that already has that. Otherwise a change of the
// members would transfer the whole configuration.
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
	for i, maxBytes := range []uint64{5000, 70000} {
		before := sidecars[i].Client.Counters.Snapshot()[KindGossip]
		sidecars[i].round(t.Context())
		after := sidecars[i].Client.Counters.Snapshot()[KindGossip]
		if state := sidecars[i].state; state == nil || state.Revision != 8 || string(state.Configuration) != string(configuration) {
			t.Errorf("sidecar %d: got revision 8: %v, want true and the complete configuration", i, state != nil && state.Revision == 8)
		}
		if got := after.ResponseBytes - before.ResponseBytes; got > maxBytes {
			t.Errorf("sidecar %d received responses of %d bytes, above the limit", i, got)
		}
	}
}
