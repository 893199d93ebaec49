package consensus

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// testMember is one replica on the wire, whose version may be an earlier one.
type testMember struct {
	*Replica
	client *transport.Client
	server *transport.Server
	stop   context.CancelFunc
}

// testCluster is three replicas with disks of their own; the first is the coordinator.
type testCluster struct {
	t       *testing.T
	ctx     context.Context
	actors  *actor.System
	peers   addresses
	members map[int]*testMember
	dirs    [4]string // by member ID
}

// testPeers are the peers as one member sees them.
type testPeers struct {
	addresses
	coordinator bool
}

// IsCoordinator implements Peers.
func (p testPeers) IsCoordinator() bool { return p.coordinator }

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	c := &testCluster{
		t: t, ctx: ctx, peers: addresses{}, members: map[int]*testMember{},
		actors: newTestActors(t),
	}
	for memberID := 1; memberID <= 3; memberID++ {
		c.dirs[memberID] = t.TempDir()
	}
	t.Cleanup(func() { // before the directories go
		cancel()
		<-c.actors.Done()
		c.actors.Stop()
	})
	for memberID := 1; memberID <= 3; memberID++ {
		c.peers[memberID] = c.listen("127.0.0.1:0").Addr().String()
	}
	return c
}

// listen takes an address and leaves it free again.
func (c *testCluster) listen(addr string) net.Listener {
	c.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		c.t.Fatal(err)
	}
	ln.Close()
	return ln
}

// start starts a member on its disk; old is one of an earlier version, which knows no deltas.
func (c *testCluster) start(memberID int, old bool) {
	c.t.Helper()
	store, err := storage.Open(c.dirs[memberID])
	if err != nil {
		c.t.Fatal(err)
	}
	var initialMembers []string
	for id := 1; id <= 3; id++ {
		initialMembers = append(initialMembers, c.peers[id])
	}
	own := transport.Hello{Version: transport.ProtocolVersion, Node: c.peers[memberID]}
	client := transport.NewClient(c.actors, own, nil)
	bootstrap := Bootstrap{NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: c.peers[memberID]}
	r, err := New(Config{Store: store, Bootstrap: bootstrap}, testDeps(c.actors, client, testPeers{c.peers, memberID == 1}))
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(c.ctx)
	server := &transport.Server{Actors: c.actors, Hello: own, Handlers: r.Handlers()}
	if old {
		delete(server.Handlers, KindDeltaMessage)
		delete(server.Handlers, KindDeltaCommand)
	}
	if server.Listener, err = net.Listen("tcp", c.peers[memberID]); err != nil {
		c.t.Fatal(err)
	}
	for name, run := range map[string]func(context.Context){"server": server.Run, "client": client.Run, "replica": r.Run} {
		c.actors.Go(ctx, name, run)
	}
	c.members[memberID] = &testMember{Replica: r, client: client, server: server, stop: stop}
}

// restart stops a member and starts it on the same disk.
func (c *testCluster) restart(memberID int, old bool) {
	c.t.Helper()
	m := c.members[memberID]
	m.stop()
	m.server.Listener.Close()
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

// submit has a member bring a command to the coordinator.
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

// put has a member bring a configuration to the coordinator, and checks that all hold it.
func (c *testCluster) put(from, number int) {
	c.t.Helper()
	command := Command{Kind: CommandPutConfiguration, Generation: uint64(number), Payload: configuration(number, 60), Submitted: configuration(number, 30)}
	result := c.submit(from, command)
	// As an operator does, it is submitted again under its generation while no clear answer came:
	// a connection to a member that was just restarted may have been broken.
	for ; result.Outcome != OutcomeCommitted; result = c.submit(from, command) {
		if c.ctx.Err() != nil {
			c.t.Fatalf("command %d was never committed: %v", number, result.Outcome)
		}
	}
	if result.State.Revision == 0 || result.State.Generation != uint64(number) {
		c.t.Fatalf("command %d: %+v", number, result.State)
	}
	for memberID, m := range c.members {
		for m.Acceptor().Committed < result.State.Revision {
			select {
			case <-c.ctx.Done():
				c.t.Fatalf("member %d has not revision %d", memberID, result.State.Revision)
			case <-time.After(time.Millisecond):
			}
		}
		if state := m.Acceptor().State; string(state.Configuration) != string(command.Payload) || string(state.Submitted) != string(command.Submitted) || state.Revision != result.State.Revision {
			c.t.Fatalf("member %d holds something else at revision %d", memberID, state.Revision)
		}
	}
}

// readIndexSize is how many bytes a MsgReadIndex has at most. They come by time and not by change.
const readIndexSize = 150

// bytesSent is how many bytes of messages and commands the replicas have sent, and been
// answered where these were deltas. Each MsgReadIndex is left out.
func (c *testCluster) bytesSent() (total uint64) {
	for _, m := range c.members {
		counts := m.client.Counters.Snapshot()
		for _, kind := range []string{KindDeltaMessage, KindDeltaCommand, KindCommand} {
			total += counts[kind].CallBytes + counts[kind].ResponseBytes
		}
		whole := counts[KindMessage]
		total += whole.CallBytes - min(whole.CallBytes, readIndexSize*whole.Calls)
	}
	return total
}

// A change of one route costs the replicas a small part of its configuration, whichever it is
// submitted to; the first after a restart costs all of it once.
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

// Members of an earlier version, which know no deltas, are sent whole states, also while
// versions mix and change from one restart to the next; no member ever holds anything else
// than was put.
func TestMixedReplicaVersions(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, false)
	c.start(2, true)
	c.start(3, false)
	n := 0
	putSome := func() {
		for range 6 {
			n++
			c.put(1+n%3, n)
		}
	}
	putSome()
	for _, memberID := range []int{2, 3, 1, 2} {
		for _, old := range []bool{true, false} {
			c.restart(memberID, old)
			putSome()
		}
	}
}
