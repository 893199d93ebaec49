package consensus

import (
	"context"
	"net"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// testMember is a replica that is reached over the network. It may simulate an earlier version.
type testMember struct {
	*Replica
	client *transport.Client
	server *transport.Server
	stop   context.CancelFunc
}

// testCluster is a cluster of three replicas with separate disks. The first member is the
// coordinator.
type testCluster struct {
	t       *testing.T
	ctx     context.Context
	actors  *actor.System
	peers   addresses
	members map[int]*testMember
	dirs    [4]string // by member ID
}

// testPeers implements Peers for one member.
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
	t.Cleanup(func() { // runs before the directories are removed
		cancel()
		<-c.actors.Done()
		c.actors.Stop()
	})
	for memberID := 1; memberID <= 3; memberID++ {
		c.peers[memberID] = c.reserveAddr("127.0.0.1:0").Addr().String()
	}
	return c
}

// reserveAddr opens a listener and closes it, so that its address is free for later use.
func (c *testCluster) reserveAddr(addr string) net.Listener {
	c.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		c.t.Fatal(err)
	}
	ln.Close()
	return ln
}

// start starts a member on its disk. If old is set, the member simulates an earlier version
// without support for deltas.
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
