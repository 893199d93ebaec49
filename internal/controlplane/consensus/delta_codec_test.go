package consensus

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/transport"
)

// configuration returns a configuration with a number of routes. One of the routes depends on
// number.
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

// submit submits a command at a member, which forwards it to the coordinator if it is not the
// coordinator.
func (c *testCluster) submit(from int, command Command) (result CommandResult) {
	if from == 1 {
		return c.members[1].Submit(c.ctx, command)
	}
	if got := c.members[from].Forward(c.ctx, c.peers[1], command); !got.Decode(&result) {
		result.Outcome = OutcomeUnknown
		if got.Delivery == transport.Answered {
			c.t.Fatalf("forwarded command was answered with error %q", got.ErrorText)
		}
	}
	return result
}

// put submits a configuration at a member and checks that all members hold it.
func (c *testCluster) put(from, number int) {
	c.t.Helper()
	command := Command{Kind: CommandPutConfiguration, Generation: uint64(number), Payload: configuration(number, 60), Submitted: configuration(number, 30)}
	result := c.submit(from, command)
	// Like an operator, the test submits the command again under the same generation until it
	// is committed: the connection to a member that was just restarted may break.
	for ; result.Outcome != OutcomeCommitted; result = c.submit(from, command) {
		if c.ctx.Err() != nil {
			c.t.Fatalf("command %d was not committed in time; last outcome %v", number, result.Outcome)
		}
	}
	if result.State.Revision == 0 || result.State.Generation != uint64(number) {
		c.t.Fatalf("result state of command %d = %+v, want its generation and a revision", number, result.State)
	}
	for memberID, m := range c.members {
		for m.Acceptor().Committed < result.State.Revision {
			select {
			case <-c.ctx.Done():
				c.t.Fatalf("member %d did not commit revision %d in time", memberID, result.State.Revision)
			case <-time.After(time.Millisecond):
			}
		}
		if state := m.Acceptor().State; string(state.Configuration) != string(command.Payload) || string(state.Submitted) != string(command.Submitted) || state.Revision != result.State.Revision {
			c.t.Fatalf("member %d holds another state than the committed one, at revision %d", memberID, state.Revision)
		}
	}
}

// readIndexSize is the maximum size of a MsgReadIndex in bytes. These messages are sent
// periodically, independently of changes.
const readIndexSize = 150

// bytesSent returns the number of bytes of the messages and commands that the replicas have
// sent, plus the responses to deltas. MsgReadIndex messages are not counted.
func (c *testCluster) bytesSent() (total uint64) {
	for _, m := range c.members {
		counts := m.client.Counters.Snapshot()
		for _, kind := range []string{KindDeltaMessage, KindDeltaCommand, KindCommand} {
			total += counts[kind].CallBytes + counts[kind].ResponseBytes
		}
		messages := counts[KindMessage]
		total += messages.CallBytes - min(messages.CallBytes, readIndexSize*messages.Calls)
	}
	return total
}

// A change of one route costs the replicas only a fraction of the size of the configuration, at
// whichever replica it is submitted. Only the first change after a restart costs the full
// size.
func TestConfigurationChangeIsSentAsDelta(t *testing.T) {
	c := newTestCluster(t)
	for memberID := 1; memberID <= 3; memberID++ {
		c.start(memberID, false)
	}
	full := uint64(len(configuration(1, 60)) + len(configuration(1, 30)))
	for n := 1; n <= 5; n++ {
		c.put(1+n%3, n)
	}
	before, changes := c.bytesSent(), 60
	for n := 6; n < 6+changes; n++ {
		c.put(1+n%3, n)
	}
	each := (c.bytesSent() - before) / uint64(changes)
	t.Logf("%d bytes per change of a configuration of %d bytes", each, full)
	if each > full/2 {
		t.Errorf("%d bytes per change of a configuration of %d bytes, want at most half", each, full)
	}
}

// Members of an earlier version do not support deltas and are sent full states. No member may
// ever hold a state other than the submitted one, also while versions are mixed and change with
// restarts.
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
