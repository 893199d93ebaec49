package watch

import (
	"fmt"
	"testing"
	"time"

	"curlewwalk/internal/membership"
)

var startTime = time.Unix(1000, 0)

func replicasIn(zones ...string) (out []membership.Replica) {
	for i, zone := range zones {
		out = append(out, membership.Replica{MemberID: i + 1, Addr: fmt.Sprint("replica-", i+1), Incarnation: 1, Zone: zone})
	}
	return out
}

// TestOwnZoneFirst checks that a watcher uses a replica of its own zone while one is live,
// responds, and has recently confirmed its control state. Otherwise it uses another replica, and
// returns to its own zone later.
func TestOwnZoneFirst(t *testing.T) {
	live := replicasIn("north", "east", "south", "west", "north")
	for i := range 40 {
		selector, now := newReplicaSelector(fmt.Sprint("side-", i), "east"), startTime
		if replica, ok := selector.choose(live, now); !ok || replica.Zone != "east" {
			t.Fatalf("side-%d first chose %+v, want a replica in its own zone", i, replica)
		}
		if replica, ok := newReplicaSelector(fmt.Sprint("side-", i), "nowhere").choose(live, now); !ok || replica.Addr == "" {
			t.Fatalf("side-%d in a zone without replicas chose no replica", i)
		}
		selector.recordResponse(2*maxConfirmationAge, now)
		replica, _ := selector.choose(live, now)
		if replica.Zone == "east" {
			t.Fatalf("side-%d stayed with a replica that has not confirmed its control state", i)
		}
		selector.recordResponse(0, now)
		now = now.Add(avoidFailedFor / 2)
		if again, _ := selector.choose(live, now); again.Addr != replica.Addr {
			t.Fatalf("side-%d left %v, which has confirmed its control state, for %v", i, replica, again)
		}
		now = now.Add(avoidFailedFor / 2)
		if again, _ := selector.choose(live, now); again.Zone != "east" {
			t.Fatalf("side-%d did not return to its own zone", i)
		}
	}
}

// TestZoneIsSpread checks that the watchers of a zone are distributed over the zone's replicas.
func TestZoneIsSpread(t *testing.T) {
	live, watchers := replicasIn("north", "north", "south"), map[string]int{}
	for i := range 60 {
		replica, _ := newReplicaSelector(fmt.Sprint("side-", i), "north").choose(live, startTime)
		watchers[replica.Addr]++
	}
	if watchers["replica-1"] < 15 || watchers["replica-2"] < 15 || watchers["replica-3"] != 0 {
		t.Errorf("got watchers per replica %v, want at least 15 on replica-1 and replica-2, none on replica-3", watchers)
	}
}

// TestNoReplicaConfirmed checks that a watcher stays with a replica that responds while no replica
// has recently confirmed its control state, since no other replica is better.
func TestNoReplicaConfirmed(t *testing.T) {
	live, now := replicasIn("a", "b", "c"), startTime
	selector := newReplicaSelector("side", "a")
	chosen := map[string]bool{}
	for range 3 {
		replica, _ := selector.choose(live, now)
		chosen[replica.Addr] = true
		selector.recordResponse(time.Hour, now)
		now = now.Add(initialBackoff)
	}
	if len(chosen) != 3 {
		t.Fatalf("chose only %v, want all three replicas", chosen)
	}
	previous := selector.current
	if replica, _ := selector.choose(live, now); replica.Addr != previous.Addr {
		t.Errorf("changed from %v to %v within %v", previous, replica, maxConfirmationAge)
	}
	// The watcher leaves a replica that is no longer live.
	others := []membership.Replica{}
	for _, replica := range live {
		if replica.Addr != previous.Addr {
			others = append(others, replica)
		}
	}
	if replica, ok := selector.choose(others, now); !ok || replica.Addr == previous.Addr {
		t.Errorf("chose %v, which is not live", replica)
	}
}

// TestTimeoutGrows checks that a response that takes longer than the initial timeout eventually
// arrives, with any number of replicas. This happens over a slow link or in a process starved of
// CPU time. A response resets the timeout.
func TestTimeoutGrows(t *testing.T) {
	for _, replicas := range []int{1, 2, 5} {
		live, now := replicasIn("a", "b", "c", "d", "e")[:replicas], startTime
		selector, attempts := newReplicaSelector("side", "a"), 0
		for duration := 2500 * time.Millisecond; ; attempts++ {
			if attempts > 5 {
				t.Fatalf("%d replicas: still timing out after %d attempts", replicas, attempts)
			}
			selector.choose(live, now)
			if selector.timeout >= duration {
				break
			}
			now = now.Add(selector.timeout)
			selector.recordFailure(true, now)
		}
		if selector.recordResponse(0, now); selector.timeout != initialTimeout {
			t.Errorf("got timeout %v after a response, want initialTimeout", selector.timeout)
		}
		if selector.recordFailure(false, now); selector.timeout != initialTimeout {
			t.Errorf("got timeout %v after a refused connection, want initialTimeout", selector.timeout)
		}
		for range 9 {
			selector.recordFailure(true, now)
		}
		if selector.timeout != maxTimeout {
			t.Errorf("got timeout %v after many timeouts, want maxTimeout", selector.timeout)
		}
	}
}

// TestBackoffGrows checks that the pause between requests grows up to a limit while no replica
// responds or none is live, and that the first response resets it. Watchers that lost the same
// replica must reconnect at different times.
func TestBackoffGrows(t *testing.T) {
	selector, now := newReplicaSelector("side-1", "north"), startTime
	selector.choose(replicasIn("north"), now)
	requests := 0
	for ; now.Sub(startTime) < 10*time.Second; requests++ {
		selector.recordFailure(false, now)
		if selector.backoff < initialBackoff || selector.backoff > maxBackoff {
			t.Fatalf("got backoff %v, want initialBackoff to maxBackoff", selector.backoff)
		}
		now = now.Add(selector.backoff)
	}
	if requests > 30 {
		t.Errorf("sent %d requests in 10 s, want at most 30", requests)
	}
	selector.recordResponse(0, now)
	if selector.growBackoff(); selector.backoff != initialBackoff {
		t.Errorf("got backoff %v after a response, want initialBackoff", selector.backoff)
	}
	seen := map[time.Duration]bool{}
	for range 100 {
		got := jitter(initialBackoff)
		if seen[got] = true; got < initialBackoff || got > initialBackoff*3/2 {
			t.Errorf("got jittered pause %v for %v, want at most 1.5 times as much", got, initialBackoff)
		}
	}
	if len(seen) < 50 {
		t.Errorf("got %d different pauses of 100, want at least 50", len(seen))
	}
}
