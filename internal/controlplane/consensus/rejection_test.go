package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// exchangeMessages puts what a proposer wants to acceptors, which answer at once, and returns the
// answers to orders. Slots in lost answer nothing.
func exchangeMessages(p *Proposer, acceptors map[int]Acceptor, readies []Ready, now time.Duration, lost ...int) (results []CommandResult) {
	for len(readies) > 0 {
		ready := readies[0]
		readies = readies[1:]
		if ready.Result != nil {
			results = append(results, *ready.Result)
		}
		for _, m := range ready.To {
			if len(lost) > 0 && lost[0] == m.MemberID {
				continue
			}
			next, reply := acceptors[m.MemberID].Step(*ready.Message)
			acceptors[m.MemberID] = next
			if m.MemberID == p.Self.MemberID {
				p.FollowAcceptor(next, now)
			}
			readies = append(readies, p.HandleReply(reply, now)...)
		}
	}
	return results
}

// A core comes back from a cut with a promise of an epoch that nobody else gave: the
// proposer on duty goes on under its own epoch while majorities are left without that core,
// and takes a higher one once they are not.
func TestSinglePromiseDoesNotInterruptProposal(t *testing.T) {
	state := config.ControlState{Revision: 2, ConfigurationRevision: 2}
	acceptors := map[int]Acceptor{}
	for memberID := 1; memberID <= 3; memberID++ {
		acceptors[memberID] = establishedAcceptor(memberID, Position{1 << 16, 2}, state)
	}
	p := &Proposer{}
	p.FollowAcceptor(acceptors[2], 0)
	now := time.Duration(0)
	order := func(id uint64) []Ready {
		return p.Enqueue(Command{ID: id, Kind: CommandEvacuate, Zone: "north", Deadline: now + commandTimeout}, now)
	}
	if results := exchangeMessages(p, acceptors, order(1), now); len(results) != 1 || results[0].Outcome != OutcomeCommitted {
		t.Fatalf("%+v", results)
	}
	term := p.term
	back := acceptors[1]
	back.Promised = term + 10<<16
	acceptors[1] = back
	now += time.Second
	if results := exchangeMessages(p, acceptors, order(2), now); len(results) != 1 || results[0].Outcome != OutcomeCommitted || p.term != term {
		t.Fatalf("%+v under epoch %d, not %d", results, p.term, term)
	}
	// The third is gone: a majority needs the one that came back.
	now += time.Second
	results := exchangeMessages(p, acceptors, order(3), now, 3)
	for range 20 {
		now += tickInterval
		results = append(results, exchangeMessages(p, acceptors, p.Tick(now), now, 3)...)
	}
	if len(results) != 1 || results[0].Outcome != OutcomeCommitted || p.term <= back.Promised {
		t.Errorf("%+v under epoch %d", results, p.term)
	}
}
