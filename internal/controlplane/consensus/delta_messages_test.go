package consensus

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// testMember is one keeper on the wire, whose version may be an older one.
type testMember struct {
	*Replica
	host *transport.Server
	end  context.CancelFunc
}

// testCluster is three keepers with disks of their own; the first is on duty.
type testCluster struct {
	t       *testing.T
	ctx     context.Context
	l       *actor.System
	peers   addresses
	members map[int]*testMember
	dirs    [4]string // by slot
}

// testPeers is peers as one member sees them.
type testPeers struct {
	addresses
	coordinator bool
}

func (o testPeers) IsCoordinator() bool { return o.coordinator }

func newTestCluster(t *testing.T) *testCluster {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	c := &testCluster{
		t: t, ctx: ctx, peers: addresses{}, members: map[int]*testMember{},
		l: actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) }),
	}
	for memberID := 1; memberID <= 3; memberID++ {
		c.dirs[memberID] = t.TempDir()
	}
	t.Cleanup(func() { // before the folders go
		cancel()
		<-c.l.Done()
		c.l.Stop()
	})
	for memberID := 1; memberID <= 3; memberID++ {
		c.peers[memberID] = c.listen("127.0.0.1:0").Addr().String()
	}
	return c
}

// listen takes an address and leaves it free again.
func (c *testCluster) listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		c.t.Fatal(err)
	}
	ln.Close()
	return ln
}

// start starts a member on its disk; old is one that knows no differences.
func (c *testCluster) start(memberID int, old bool) {
	c.t.Helper()
	v, err := storage.Open(c.dirs[memberID])
	if err != nil {
		c.t.Fatal(err)
	}
	var founders []string
	for s := 1; s <= 3; s++ {
		founders = append(founders, c.peers[s])
	}
	r, err := NewReplica(c.l, &StateStore{Store: v}, Bootstrap{NewCluster: true, InitialMembers: founders, AdvertiseAddr: c.peers[memberID]})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, end := context.WithCancel(c.ctx)
	own := transport.Hello{Version: transport.ProtocolVersion, Node: c.peers[memberID]}
	r.Client, r.Log, r.Peers = transport.NewClient(c.l, own, nil), slog.New(slog.DiscardHandler), testPeers{c.peers, memberID == 1}
	r.OnCommit, r.OnReadConfirmed = func(context.Context, config.ControlState) {}, func(context.Context, time.Time) {}
	h := &transport.Server{Actors: c.l, Hello: own, Handlers: r.Handlers()}
	if old {
		delete(h.Handlers, KindDeltaMessage)
		delete(h.Handlers, KindDeltaCommand)
	}
	if h.Listener, err = net.Listen("tcp", c.peers[memberID]); err != nil {
		c.t.Fatal(err)
	}
	parts := map[string]func(context.Context){"host": h.Run, "net": r.Client.Run, "keeper": r.Run}
	for name, run := range parts {
		c.l.Go(ctx, name, run)
	}
	c.members[memberID] = &testMember{Replica: r, host: h, end: end}
}

// restart ends a member and starts it on the same disk.
func (c *testCluster) restart(memberID int, old bool) {
	c.t.Helper()
	m := c.members[memberID]
	m.end()
	m.host.Listener.Close()
	c.start(memberID, old)
}

// configuration is one of so many routes, of which one depends on its number.
func configuration(number, routes int) []byte {
	var b strings.Builder
	for i := range routes {
		n := 0
		if i == number%routes {
			n = number
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%d/","service":"svc-%d","legs":%d},`, i, i%7, i*i, i%3, n)
	}
	return []byte(b.String())
}

// submit has a member bring an order to the one on duty.
func (c *testCluster) submit(from int, command Command) (result CommandResult) {
	if from == 1 {
		return c.members[1].Submit(c.ctx, command)
	}
	if got := c.members[from].Forward(c.ctx, c.peers[1], command); !got.Decode(&result) {
		result.Outcome = OutcomeUnknown
		if got.Delivery == transport.Answered {
			c.t.Fatalf("fault %q", got.Fault)
		}
	}
	return result
}

// put has a member bring an order to the one on duty, and all hold what came of it.
func (c *testCluster) put(from, number int) {
	c.t.Helper()
	command := Command{Kind: CommandPutConfiguration, Generation: uint64(number), Payload: configuration(number, 60), Submitted: configuration(number, 30)}
	result := c.submit(from, command)
	// As an operator does, it is sent again under its number while no clear answer came:
	// a connection to a member that was just restarted may have been broken.
	for ; result.Outcome != OutcomeCommitted; result = c.submit(from, command) {
		if c.ctx.Err() != nil {
			c.t.Fatalf("order %d was never taken: %v", number, result.Outcome)
		}
	}
	if result.State.Revision == 0 || result.State.Generation != uint64(number) {
		c.t.Fatalf("order %d: %+v", number, result.State)
	}
	for memberID, m := range c.members {
		for m.Acceptor().Committed < result.State.Revision {
			select {
			case <-c.ctx.Done():
				c.t.Fatalf("slot %d has not stamp %d", memberID, result.State.Revision)
			case <-time.After(time.Millisecond):
			}
		}
		if state := m.Acceptor().State; string(state.Configuration) != string(command.Payload) || string(state.Submitted) != string(command.Submitted) || state.Revision != result.State.Revision {
			c.t.Fatalf("slot %d holds something else at stamp %d", memberID, state.Revision)
		}
	}
}

// readIndexSize is what a look has at most, which comes by time and not by change.
const readIndexSize = 150

// bytesSent is how many bytes of ballots and orders the keepers have sent, and been sent back
// where these were differences. Looks are left out.
func (c *testCluster) bytesSent() (total uint64) {
	for _, m := range c.members {
		counts := m.Client.Counters.Snapshot()
		for _, kind := range []string{KindDeltaMessage, KindDeltaCommand, KindCommand} {
			total += counts[kind].CallBytes + counts[kind].ResponseBytes
		}
		whole := counts[KindMessage]
		total += whole.CallBytes - min(whole.CallBytes, readIndexSize*whole.Calls)
	}
	return total
}

// A change of one route costs the cores a small part of its configuration, whoever it is
// brought to; the first after a restart costs it once.
func TestConfigurationChangeIsSentAsDelta(t *testing.T) {
	c := newTestCluster(t)
	for memberID := 1; memberID <= 3; memberID++ {
		c.start(memberID, false)
	}
	whole := uint64(len(configuration(1, 60)) + len(configuration(1, 30)))
	for n := 1; n <= 5; n++ {
		c.put(1+n%3, n)
	}
	before, changes := c.bytesSent(), 60
	for n := 6; n < 6+changes; n++ {
		c.put(1+n%3, n)
	}
	each := (c.bytesSent() - before) / uint64(changes)
	t.Logf("%d bytes a change of a configuration of %d", each, whole)
	if each > whole/2 {
		t.Errorf("%d bytes a change of a configuration of %d", each, whole)
	}
}

// Members of an older version, which know no differences, are told the whole, also while
// versions mix and change from one restart to the next; nobody ever holds anything else
// than was put.
func TestMixedReplicaVersions(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, false)
	c.start(2, true)
	c.start(3, false)
	n := 0
	some := func() {
		for range 6 {
			n++
			c.put(1+n%3, n)
		}
	}
	some()
	for _, memberID := range []int{2, 3, 1, 2} {
		for _, old := range []bool{true, false} {
			c.restart(memberID, old)
			some()
		}
	}
}
