package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// proposerNetwork connects proposers and acceptors without a transport.
type proposerNetwork struct {
	t         *testing.T
	now       time.Duration
	acceptors []Acceptor
	proposers map[int]*Proposer
	results   map[uint64]CommandResult
	lastID    uint64
	// sent holds the undelivered messages of each proposer.
	sent map[int][]Ready
	// proposed is the number of accept messages that were broadcast.
	proposed int
}

func newProposerNetwork(t *testing.T, size int) *proposerNetwork {
	network := &proposerNetwork{t: t, proposers: map[int]*Proposer{}, results: map[uint64]CommandResult{}, sent: map[int][]Ready{}}
	members := map[int]MemberRecord{}
	for id := 1; id <= size; id++ {
		members[id] = MemberRecord{Incarnation: 1, DiskID: uint64(id)}
	}
	for id := 1; id <= size; id++ {
		self := Sender{MemberID: id, Incarnation: 1, DiskID: uint64(id)}
		network.acceptors = append(network.acceptors, Acceptor{Self: self, StaticSize: size, Phase: PhaseEstablished, MemberRecords: members})
		network.proposers[id] = &Proposer{}
		network.proposers[id].FollowAcceptor(network.acceptors[id-1], 0)
	}
	return network
}

// submit enqueues a command at a proposer and returns the ID of the command.
func (network *proposerNetwork) submit(memberID int, command Command) uint64 {
	network.lastID++
	command.ID, command.Deadline = network.lastID, network.now+3*time.Second
	network.handleReady(memberID, network.proposers[memberID].Enqueue(command, network.now))
	return command.ID
}

func (network *proposerNetwork) handleReady(memberID int, items []Ready) {
	for _, item := range items {
		if item.Result != nil {
			network.results[item.Result.ID] = *item.Result
		}
		if item.Message != nil {
			network.sent[memberID] = append(network.sent[memberID], item)
			if item.Message.Type == MsgAccept {
				network.proposed++
			}
		}
	}
}

// step delivers the undelivered messages of a proposer and the replies to them. It returns
// false if there were none.
func (network *proposerNetwork) step(memberID int) bool {
	sent := network.sent[memberID]
	network.sent[memberID] = nil
	for _, item := range sent {
		for _, m := range item.To {
			id := m.MemberID
			next, reply := network.acceptors[id-1].Step(*item.Message)
			network.acceptors[id-1] = next
			network.handleReady(memberID, network.proposers[memberID].HandleReply(reply, network.now))
		}
	}
	return len(sent) > 0
}

// deliverAll delivers all messages and advances the time by one second.
func (network *proposerNetwork) deliverAll() {
	for range 10 {
		for memberID := range network.proposers {
			for network.step(memberID) {
			}
		}
		network.now += 100 * time.Millisecond
		for memberID, p := range network.proposers {
			p.FollowAcceptor(network.acceptors[memberID-1], network.now)
			network.handleReady(memberID, p.Tick(network.now))
		}
	}
}

// newestState returns the newest state, which a majority must hold.
func (network *proposerNetwork) newestState() config.ControlState {
	replies := map[int]Reply{}
	for i := range network.acceptors {
		_, replies[i+1] = network.acceptors[i].Step(Message{Type: MsgRead})
	}
	highest, committed := NewestState(replies, network.acceptors[0].MemberSets())
	if !committed {
		network.t.Fatal("no majority holds the newest state")
	}
	return highest.State
}

func (network *proposerNetwork) hasResult(id uint64) bool {
	_, ok := network.results[id]
	return ok
}

func (network *proposerNetwork) expect(id uint64, want Outcome) config.ControlState {
	network.t.Helper()
	result, ok := network.results[id]
	if !ok || result.Outcome != want {
		network.t.Errorf("outcome of command %d = %q, want %q", id, result.Outcome, want)
	}
	return result.State
}

func putGeneration(n uint64, text string) Command {
	return Command{Kind: CommandPutConfiguration, Generation: n, Payload: []byte(text), Submitted: []byte("sent " + text)}
}

// acceptWithoutCommit delivers a proposal to one acceptor and drops all other messages of the
// proposer, so that the proposal remains unfinished.
func (network *proposerNetwork) acceptWithoutCommit(memberID, acceptor int) {
	network.t.Helper()
	for _, item := range network.sent[memberID] {
		if item.Message.Type != MsgAccept {
			network.t.Fatalf("undelivered message is a %s, want an accept message", item.Message.Type)
		}
		network.acceptors[acceptor-1], _ = network.acceptors[acceptor-1].Step(*item.Message)
	}
	network.sent[memberID] = nil
}

// zoneCommand returns a command on a zone that was received when sinceRevision was the newest
// revision.
func zoneCommand(kind CommandKind, zone string, sinceRevision uint64) Command {
	return Command{Kind: kind, Zone: zone, SinceRevision: &sinceRevision}
}
