package consensus

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// exchangeMessages delivers the messages of a proposer to acceptors, which reply immediately,
// and returns the results of commands. Messages to the members in lost are dropped.
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

// A replica returns from a partition with a promise of a higher term that no other acceptor
// gave. The coordinator keeps its own term as long as there is a majority without that replica,
// and prepares a higher term once there is none.
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
		t.Fatalf("results of the first command = %+v, want one committed", results)
	}
	term := p.term
	returned := acceptors[1]
	returned.Promised = term + 10<<16
	acceptors[1] = returned
	now += time.Second
	if results := exchangeMessages(p, acceptors, submit(2), now); len(results) != 1 || results[0].Outcome != OutcomeCommitted || p.term != term {
		t.Fatalf("results of the second command = %+v under term %d, want one committed under term %d", results, p.term, term)
	}
	// Member 3 is lost, so a majority needs the replica that returned.
	now += time.Second
	results := exchangeMessages(p, acceptors, submit(3), now, 3)
	for range 20 {
		now += tickInterval
		results = append(results, exchangeMessages(p, acceptors, p.Tick(now), now, 3)...)
	}
	if len(results) != 1 || results[0].Outcome != OutcomeCommitted || p.term <= returned.Promised {
		t.Errorf("results of the third command = %+v under term %d, want one committed under a higher term than the promised one", results, p.term)
	}
}
