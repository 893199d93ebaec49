package consensus

import (
	"fmt"
	"testing"
	"time"
)

// A generation identifies one configuration. Every replica acknowledges the same bytes again,
// even after later generations, and rejects other bytes as a conflict.
func TestOneGenerationOneConfiguration(t *testing.T) {
	network := newProposerNetwork(t, 3)
	put := func(memberID int, command Command, want Outcome) {
		t.Helper()
		id := network.submit(memberID, command)
		network.deliverAll()
		network.expect(id, want)
	}
	put(1, putGeneration(5, "five"), OutcomeCommitted)
	for memberID := 1; memberID <= 3; memberID++ {
		put(memberID, putGeneration(5, "five"), OutcomeCommitted)
		put(memberID, putGeneration(5, "other"), OutcomeConflict)
	}
	put(2, putGeneration(8, "eight"), OutcomeCommitted)
	put(3, Command{Kind: CommandEvacuate, Zone: "west"}, OutcomeCommitted)
	put(3, Command{Kind: CommandPutConfiguration, Payload: []byte("plain")}, OutcomeCommitted)
	for memberID := 1; memberID <= 3; memberID++ {
		put(memberID, putGeneration(5, "five"), OutcomeCommitted)
		put(memberID, putGeneration(5, "other"), OutcomeConflict)
		put(memberID, putGeneration(8, "eight"), OutcomeCommitted)
		put(memberID, putGeneration(8, "other"), OutcomeConflict)
		put(memberID, putGeneration(6, "never taken"), OutcomeCommitted)
		put(memberID, putGeneration(6, "nor this"), OutcomeCommitted)
	}
	if state := network.newestState(); string(state.Configuration) != "plain" || state.Generation != 8 {
		t.Errorf("newest state = %+v, want configuration \"plain\" and generation 8", state)
	}
}

// Conflicts are detected by the bytes that the operator submitted, not by the form into which
// an adapter converted them.
func TestConflictComparesSubmittedBytes(t *testing.T) {
	network := newProposerNetwork(t, 3)
	put := func(payload, submitted string, want Outcome) {
		t.Helper()
		id := network.submit(1, Command{Kind: CommandPutConfiguration, Generation: 3, Payload: []byte(payload), Submitted: []byte(submitted)})
		network.deliverAll()
		network.expect(id, want)
	}
	put("a", "sent", OutcomeCommitted)
	put("a", "sent", OutcomeCommitted)
	put("a", "sent otherwise", OutcomeConflict)
	put("a", "", OutcomeConflict)
}

// Two operators submit different configurations under one generation, at one replica or at two,
// in all interleavings of the first message deliveries. One configuration is committed, and the
// other operator gets a conflict from every replica.
func TestEqualGenerationsRace(t *testing.T) {
	for steps := range 128 {
		network := newProposerNetwork(t, 3)
		second := 1 + steps>>6&1
		one, two := network.submit(1, putGeneration(4, "one")), network.submit(second, putGeneration(4, "two"))
		for bit := range 6 {
			network.step(1 + steps>>bit&1)
		}
		for range 4 {
			network.deliverAll()
		}
		state := network.newestState()
		wants := map[string]Outcome{"one": OutcomeCommitted, "two": OutcomeCommitted}
		wants[map[string]string{"one": "two", "two": "one"}[string(state.Configuration)]] = OutcomeConflict
		network.expect(one, wants["one"])
		network.expect(two, wants["two"])
		for memberID := 1; memberID <= 3; memberID++ {
			for text, want := range wants {
				id := network.submit(memberID, putGeneration(4, text))
				network.deliverAll()
				network.expect(id, want)
			}
		}
		if t.Failed() {
			t.Fatalf("failed with delivery order %b", steps)
		}
	}
}

// Two of the commands that wait for a higher generation have that generation. The one with
// other bytes gets a conflict. Those of lower generations, which were never committed, are
// acknowledged.
func TestEqualGenerationsQueueUp(t *testing.T) {
	network := newProposerNetwork(t, 3)
	first := network.submit(1, putGeneration(1, "1"))
	for network.step(1) && network.proposed == 0 {
	}
	low, one, two, same := network.submit(1, putGeneration(2, "low")), network.submit(1, putGeneration(3, "one")), network.submit(1, putGeneration(3, "two")), network.submit(1, putGeneration(3, "one"))
	late := network.submit(1, putGeneration(1, "other"))
	network.deliverAll()
	network.expect(first, OutcomeCommitted)
	network.expect(low, OutcomeCommitted)
	network.expect(one, OutcomeCommitted)
	network.expect(two, OutcomeConflict)
	network.expect(same, OutcomeCommitted)
	network.expect(late, OutcomeConflict)
	if network.proposed != 2 {
		t.Errorf("%d states were proposed, want 2", network.proposed)
	}
}

// A proposal that one acceptor has accepted is either found and completed under a later term or
// not found. In both cases its bytes are distinguished from other bytes of the same generation.
func TestUncommittedGeneration(t *testing.T) {
	for _, found := range []bool{true, false} {
		t.Run(fmt.Sprint(found), func(t *testing.T) {
			network := newProposerNetwork(t, 3)
			first := network.submit(1, Command{Kind: CommandEvacuate, Zone: "west"})
			network.deliverAll()
			network.expect(first, OutcomeCommitted)
			one := network.submit(1, putGeneration(4, "one"))
			network.acceptWithoutCommit(1, 1)
			other := 2
			if found {
				other = 1
			}
			// Another replica becomes the coordinator. Its term is promised by member 3 and
			// either the acceptor that holds the proposal or one that does not.
			two := network.submit(3, putGeneration(4, "two"))
			for range 8 {
				sent := network.sent[3]
				network.sent[3] = nil
				for _, item := range sent {
					for _, id := range []int{3, other} {
						next, reply := network.acceptors[id-1].Step(*item.Message)
						network.acceptors[id-1] = next
						network.handleReady(3, network.proposers[3].HandleReply(reply, network.now))
					}
				}
			}
			wantOne, wantTwo, newest := OutcomeConflict, OutcomeCommitted, "two"
			if found {
				wantOne, wantTwo, newest = OutcomeCommitted, OutcomeConflict, "one"
			}
			network.expect(two, wantTwo)
			for range 3 {
				network.deliverAll()
			}
			network.expect(one, wantOne)
			if state := network.newestState(); string(state.Configuration) != newest {
				t.Errorf("newest state = %+v, which has the wrong configuration", state)
			}
		})
	}
}

// The record of generations is bounded. A generation that was committed too long ago to be on
// record is acknowledged with any bytes, so that no repeated submission of a committed one is
// ever rejected.
func TestAcceptedGenerationsAreBounded(t *testing.T) {
	network := newProposerNetwork(t, 1)
	put := func(command Command, want Outcome) {
		t.Helper()
		id := network.submit(1, command)
		for network.step(1) {
		}
		network.expect(id, want)
	}
	text := func(n uint64) string { return fmt.Sprint("configuration ", n) }
	const generations = 300
	for n := uint64(1); n <= generations; n++ {
		put(putGeneration(n, text(n)), OutcomeCommitted)
	}
	known := 0
	for n := uint64(1); n <= generations; n++ {
		put(putGeneration(n, text(n)), OutcomeCommitted)
		id := network.submit(1, putGeneration(n, "other"))
		if network.results[id].Outcome == OutcomeConflict {
			known++
		} else if known > 0 {
			t.Fatalf("generation %d is not on record although an earlier one is", n)
		}
	}
	if known < 8 || known > generations/2 {
		t.Errorf("%d generations are on record, want at least 8 and at most half of them", known)
	}
}

// The record of generations survives a restart. For a state of a version without that record,
// the submission stored in the state is used instead.
func TestAcceptedGenerationsOnDisk(t *testing.T) {
	disk := openTestStore(t)
	network := newProposerNetwork(t, 1)
	put := func(command Command, want Outcome) {
		t.Helper()
		id := network.submit(1, command)
		for network.step(1) {
		}
		network.expect(id, want)
	}
	restart := func() {
		t.Helper()
		acceptor, err := newStateStore(disk).load(Bootstrap{MemberID: 1, StaticSize: 1})
		if err != nil || acceptor.Phase != PhaseEstablished {
			t.Fatal(acceptor.Phase, err)
		}
		network.acceptors[0], network.proposers[1] = acceptor, &Proposer{}
		network.proposers[1].FollowAcceptor(acceptor, network.now)
	}
	put(putGeneration(3, "three"), OutcomeCommitted)
	put(putGeneration(4, "four"), OutcomeCommitted)
	acceptor := network.acceptors[0]
	acceptor.PromiseDirty, acceptor.StateDirty = true, true
	if err := newStateStore(disk).save(acceptor); err != nil {
		t.Fatal(err)
	}
	restart()
	put(putGeneration(4, "four"), OutcomeCommitted)
	put(putGeneration(4, "other"), OutcomeConflict)
	put(putGeneration(3, "three"), OutcomeCommitted)
	put(putGeneration(3, "other"), OutcomeConflict)

	earlier := "{\"epoch\":4000000,\"stamp\":9,\"desired_stamp\":9,\"emptied\":null,\"edition\":7,\"sent\":\"c2VudCBzZXZlbg==\"}\nseven"
	if err := disk.Save(kindState, "00000000000004000000.00000000000000000009", []byte(earlier)); err != nil {
		t.Fatal(err)
	}
	network.now += time.Minute
	restart()
	put(putGeneration(7, "seven"), OutcomeCommitted)
	put(putGeneration(7, "other"), OutcomeConflict)
	put(putGeneration(6, "six"), OutcomeCommitted)
	earlier = "{\"epoch\":5000000,\"stamp\":10,\"desired_stamp\":10,\"emptied\":null,\"edition\":7}\nput without a number"
	if err := disk.Save(kindState, "00000000000005000000.00000000000000000010", []byte(earlier)); err != nil {
		t.Fatal(err)
	}
	restart()
	put(putGeneration(7, "seven"), OutcomeCommitted) // the bytes committed under this generation are unknown
}
