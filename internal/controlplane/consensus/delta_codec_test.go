package consensus

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/transport"
)

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
