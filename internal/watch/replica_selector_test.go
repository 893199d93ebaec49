package watch

import (
	"fmt"
	"testing"
	"time"

	"curlewwalk/internal/membership"
)

var beginning = time.Unix(1000, 0)

func replicasIn(zones ...string) (out []membership.Replica) {
	for i, l := range zones {
		out = append(out, membership.Replica{MemberID: i + 1, Addr: fmt.Sprint("core-", i+1), Incarnation: 1, Zone: l})
	}
	return out
}

// A follower asks a core of its own zone while there is one that lives, answers and
// is sure, whatever hashing says; else any other, and its own again later.
func TestOwnZoneFirst(t *testing.T) {
	live := replicasIn("north", "east", "south", "west", "north")
	for i := range 40 {
		selector, now := newReplicaSelector(fmt.Sprint("side-", i), "east"), beginning
		if replica, ok := selector.choose(live, now); !ok || replica.Zone != "east" {
			t.Fatalf("side-%d follows %+v first", i, replica)
		}
		if replica, ok := newReplicaSelector(fmt.Sprint("side-", i), "nowhere").choose(live, now); !ok || replica.Addr == "" {
			t.Fatalf("side-%d of a locality without cores follows none", i)
		}
		selector.recordResponse(2*maxConfirmationAge, now)
		replica, _ := selector.choose(live, now)
		if replica.Zone == "east" {
			t.Fatalf("side-%d stays with a core that is not sure", i)
		}
		selector.recordResponse(0, now)
		now = now.Add(avoidFailedFor / 2)
		if again, _ := selector.choose(live, now); again.Addr != replica.Addr {
			t.Fatalf("side-%d leaves %v, which is sure, for %v", i, replica, again)
		}
		now = now.Add(avoidFailedFor / 2)
		if again, _ := selector.choose(live, now); again.Zone != "east" {
			t.Fatalf("side-%d never goes back to its own locality", i)
		}
	}
}

// Those of one zone are spread over its cores.
func TestZoneIsSpread(t *testing.T) {
	live, followers := replicasIn("north", "north", "south"), map[string]int{}
	for i := range 60 {
		replica, _ := newReplicaSelector(fmt.Sprint("side-", i), "north").choose(live, beginning)
		followers[replica.Addr]++
	}
	if followers["core-1"] < 15 || followers["core-2"] < 15 || followers["core-3"] != 0 {
		t.Errorf("%v", followers)
	}
}

// While no core is sure, one that answers is stayed with: the others are no better.
func TestNoReplicaConfirmed(t *testing.T) {
	live, now := replicasIn("a", "b", "c"), beginning
	selector := newReplicaSelector("side", "a")
	asked := map[string]bool{}
	for range 3 {
		replica, _ := selector.choose(live, now)
		asked[replica.Addr] = true
		selector.recordResponse(time.Hour, now)
		now = now.Add(initialBackoff)
	}
	if len(asked) != 3 {
		t.Fatalf("asked %v only", asked)
	}
	at := selector.current
	if replica, _ := selector.choose(live, now); replica.Addr != at.Addr {
		t.Errorf("went on from %v to %v within %v", at, replica, maxConfirmationAge)
	}
	// One that is gone, or lives anew, is not stayed with.
	without := []membership.Replica{}
	for _, replica := range live {
		if replica.Addr != at.Addr {
			without = append(without, replica)
		}
	}
	if replica, ok := selector.choose(without, now); !ok || replica.Addr == at.Addr {
		t.Errorf("follows %v, which does not live", replica)
	}
}

// An answer that takes longer than the first patience, on a narrow link or from a late
// processor, comes through in the end, however few cores there are; and a follower that
// was answered is quick again to leave one that says nothing.
func TestTimeoutGrows(t *testing.T) {
	for _, cores := range []int{1, 2, 5} {
		live, now := replicasIn("a", "b", "c", "d", "e")[:cores], beginning
		selector, tries := newReplicaSelector("side", "a"), 0
		for need := 2500 * time.Millisecond; ; tries++ {
			if tries > 5 {
				t.Fatalf("%d cores: given up %d times, and on", cores, tries)
			}
			selector.choose(live, now)
			if selector.timeout >= need {
				break
			}
			now = now.Add(selector.timeout)
			selector.recordFailure(true, now)
		}
		if selector.recordResponse(0, now); selector.timeout != initialTimeout {
			t.Errorf("patience %v after an answer", selector.timeout)
		}
		if selector.recordFailure(false, now); selector.timeout != initialTimeout {
			t.Errorf("patience %v after a refusal", selector.timeout)
		}
		for range 9 {
			selector.recordFailure(true, now)
		}
		if selector.timeout != maxTimeout {
			t.Errorf("patience %v has no bound", selector.timeout)
		}
	}
}

// While no core answers or none lives, the pause between calls grows up to a bound, and
// the first answer takes it back; those who lost the same core come back spread.
func TestBackoffGrows(t *testing.T) {
	selector, now := newReplicaSelector("side-1", "north"), beginning
	selector.choose(replicasIn("north"), now)
	asked := 0
	for ; now.Sub(beginning) < 10*time.Second; asked++ {
		selector.recordFailure(false, now)
		if selector.backoff < initialBackoff || selector.backoff > maxBackoff {
			t.Fatalf("a pause of %v", selector.backoff)
		}
		now = now.Add(selector.backoff)
	}
	if asked > 30 {
		t.Errorf("asked %d times in 10 s", asked)
	}
	selector.recordResponse(0, now)
	if selector.growBackoff(); selector.backoff != initialBackoff {
		t.Errorf("%v after an answer", selector.backoff)
	}
	late := map[time.Duration]bool{}
	for range 100 {
		got := jitter(initialBackoff)
		if late[got] = true; got < initialBackoff || got > initialBackoff*3/2 {
			t.Errorf("%v for %v", got, initialBackoff)
		}
	}
	if len(late) < 50 {
		t.Errorf("%d different pauses of 100", len(late))
	}
}
