package watch

import (
	"fmt"
	"testing"
	"time"

	"curlewwalk/internal/membership"
)

var beginning = time.Unix(1000, 0)

func replicasIn(zones ...string) (out []membership.Replica) {
	for i, zone := range zones {
		out = append(out, membership.Replica{MemberID: i + 1, Addr: fmt.Sprint("replica-", i+1), Incarnation: 1, Zone: zone})
	}
	return out
}

// A watcher asks a replica of its own zone as long as one is live, responds and has confirmed its
// control state lately; else any other one, and its own zone again later.
func TestOwnZoneFirst(t *testing.T) {
	live := replicasIn("north", "east", "south", "west", "north")
	for i := range 40 {
		selector, now := newReplicaSelector(fmt.Sprint("side-", i), "east"), beginning
		if replica, ok := selector.choose(live, now); !ok || replica.Zone != "east" {
			t.Fatalf("side-%d asks %+v first", i, replica)
		}
		if replica, ok := newReplicaSelector(fmt.Sprint("side-", i), "nowhere").choose(live, now); !ok || replica.Addr == "" {
			t.Fatalf("side-%d in a zone without replicas asks none", i)
		}
		selector.recordResponse(2*maxConfirmationAge, now)
		replica, _ := selector.choose(live, now)
		if replica.Zone == "east" {
			t.Fatalf("side-%d stays with a replica that has not confirmed", i)
		}
		selector.recordResponse(0, now)
		now = now.Add(avoidFailedFor / 2)
		if again, _ := selector.choose(live, now); again.Addr != replica.Addr {
			t.Fatalf("side-%d leaves %v, which has confirmed, for %v", i, replica, again)
		}
		now = now.Add(avoidFailedFor / 2)
		if again, _ := selector.choose(live, now); again.Zone != "east" {
			t.Fatalf("side-%d never goes back to its own zone", i)
		}
	}
}

// The watchers of one zone are spread over its replicas.
func TestZoneIsSpread(t *testing.T) {
	live, watchers := replicasIn("north", "north", "south"), map[string]int{}
	for i := range 60 {
		replica, _ := newReplicaSelector(fmt.Sprint("side-", i), "north").choose(live, beginning)
		watchers[replica.Addr]++
	}
	if watchers["replica-1"] < 15 || watchers["replica-2"] < 15 || watchers["replica-3"] != 0 {
		t.Errorf("%v", watchers)
	}
}

// While no replica has confirmed lately, the watcher stays with one that responds: the others are
// no better.
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
		t.Errorf("changed from %v to %v within %v", at, replica, maxConfirmationAge)
	}
	// It does not stay with one that is gone or restarted.
	without := []membership.Replica{}
	for _, replica := range live {
		if replica.Addr != at.Addr {
			without = append(without, replica)
		}
	}
	if replica, ok := selector.choose(without, now); !ok || replica.Addr == at.Addr {
		t.Errorf("asks %v, which is not live", replica)
	}
}

// A response that takes longer than the first time-out, over a slow link or from a starved process,
// arrives in the end, however few replicas there are; and after a response the time-out is short
// again.
func TestTimeoutGrows(t *testing.T) {
	for _, replicas := range []int{1, 2, 5} {
		live, now := replicasIn("a", "b", "c", "d", "e")[:replicas], beginning
		selector, attempts := newReplicaSelector("side", "a"), 0
		for need := 2500 * time.Millisecond; ; attempts++ {
			if attempts > 5 {
				t.Fatalf("%d replicas: timed out %d times, and on", replicas, attempts)
			}
			selector.choose(live, now)
			if selector.timeout >= need {
				break
			}
			now = now.Add(selector.timeout)
			selector.recordFailure(true, now)
		}
		if selector.recordResponse(0, now); selector.timeout != initialTimeout {
			t.Errorf("time-out %v after a response", selector.timeout)
		}
		if selector.recordFailure(false, now); selector.timeout != initialTimeout {
			t.Errorf("time-out %v after a refused connection", selector.timeout)
		}
		for range 9 {
			selector.recordFailure(true, now)
		}
		if selector.timeout != maxTimeout {
			t.Errorf("time-out %v has no bound", selector.timeout)
		}
	}
}

// While no replica responds or none is live, the pause between requests grows up to a bound, and the
// first response resets it; watchers that lost the same replica come back at different times.
func TestBackoffGrows(t *testing.T) {
	selector, now := newReplicaSelector("side-1", "north"), beginning
	selector.choose(replicasIn("north"), now)
	asked := 0
	for ; now.Sub(beginning) < 10*time.Second; asked++ {
		selector.recordFailure(false, now)
		if selector.backoff < initialBackoff || selector.backoff > maxBackoff {
			t.Fatalf("a backoff of %v", selector.backoff)
		}
		now = now.Add(selector.backoff)
	}
	if asked > 30 {
		t.Errorf("asked %d times in 10 s", asked)
	}
	selector.recordResponse(0, now)
	if selector.growBackoff(); selector.backoff != initialBackoff {
		t.Errorf("%v after a response", selector.backoff)
	}
	seen := map[time.Duration]bool{}
	for range 100 {
		got := jitter(initialBackoff)
		if seen[got] = true; got < initialBackoff || got > initialBackoff*3/2 {
			t.Errorf("%v for %v", got, initialBackoff)
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d different pauses of 100", len(seen))
	}
}
