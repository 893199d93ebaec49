package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// exchangeMessages delivers what a proposer wants to acceptors, which reply at once, and
// returns the results of commands. The members in lost reply nothing.
func exchangeMessages(p *Proposer, acceptors map[int]Acceptor, items []Ready, now time.Duration, lost ...int) (results []CommandResult) {
	for len(items) > 0 {
		item := items[0]
		items = items[1:]
		if item.Result != nil {
			results = append(results, *item.Result)
		}
		for _, m := range item.To {
			if len(lost) > 0 && lost[0] == m.MemberID {
				continue
			}
			next, reply := acceptors[m.MemberID].Step(*item.Message)
			acceptors[m.MemberID] = next
			if m.MemberID == p.self.MemberID {
				p.FollowAcceptor(next, now)
			}
			items = append(items, p.HandleReply(reply, now)...)
		}
	}
	return results
}

// A replica comes back from a partition with a promise of a term that no other acceptor gave:
// the coordinator goes on under its own term while majorities are left without that replica,
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
	submit := func(id uint64) []Ready {
		return p.Enqueue(Command{ID: id, Kind: CommandEvacuate, Zone: "north", Deadline: now + commandTimeout}, now)
	}
	if results := exchangeMessages(p, acceptors, submit(1), now); len(results) != 1 || results[0].Outcome != OutcomeCommitted {
		t.Fatalf("%+v", results)
	}
	term := p.term
	returned := acceptors[1]
	returned.Promised = term + 10<<16
	acceptors[1] = returned
	now += time.Second
	if results := exchangeMessages(p, acceptors, submit(2), now); len(results) != 1 || results[0].Outcome != OutcomeCommitted || p.term != term {
		t.Fatalf("%+v under term %d, not %d", results, p.term, term)
	}
	// The third is gone: a majority needs the one that came back.
	now += time.Second
	results := exchangeMessages(p, acceptors, submit(3), now, 3)
	for range 20 {
		now += tickInterval
		results = append(results, exchangeMessages(p, acceptors, p.Tick(now), now, 3)...)
	}
	if len(results) != 1 || results[0].Outcome != OutcomeCommitted || p.term <= returned.Promised {
		t.Errorf("%+v under term %d", results, p.term)
	}
}
