package e2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"curlewwalk/tests/fleet"
)

// numberedRace is a fleet of replicas at which two operators use the same generations.
type numberedRace struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
}

// put has the configuration of an operator under a generation acknowledged (200) or refused (409), at
// the replica after the given one or at the next ones.
func (n *numberedRace) put(replica, generation, operator int) (status int) {
	err := fleet.Await(n.ctx, "a final answer", func(ctx context.Context) bool {
		replica++
		body := configuration(1000*generation + operator)
		r, err := n.Operate(ctx, n.Replicas[replica%len(n.Replicas)], "PUT", configurationPath, body, generationHeader, fmt.Sprint(generation))
		if err == nil && r.Status != 200 && r.Status != 409 && r.Status != 503 {
			n.t.Errorf("%d of operator %d: %d %s", generation, operator, r.Status, r.Body)
		}
		status = r.Status
		return err == nil && (status == 200 || status == 409)
	})
	if err != nil {
		n.t.Error(err)
	}
	return status
}

// race has both operators put at once, each at a replica of its own, and returns what they got.
func (n *numberedRace) race(generation int) []int {
	statuses := make([]int, 2)
	var racing sync.WaitGroup
	for operator := range statuses {
		racing.Go(func() { statuses[operator] = n.put(generation+operator, generation, operator) })
	}
	racing.Wait()
	return statuses
}

// disturb kills a replica before one of four generations, and starts it two later.
func (n *numberedRace) disturb(generation int) {
	victim := n.Replicas[generation/4%3]
	switch generation % 4 {
	case 0:
		victim.Kill()
	case 2:
		if !victim.Running() {
			must(n.t, victim.Start())
		}
	}
}

// Two operators race with one configuration each under the same generation, at replicas that are killed
// and started in turn, the coordinator first. One is acknowledged, and the other learns that it is not;
// and so they are answered at every replica whenever they ask again.
func TestEqualNumbers(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	n := &numberedRace{Fleet: f, t: t, ctx: ctx}
	answers := map[int][]int{}
	for generation := 1; generation <= 24; generation++ {
		n.disturb(generation)
		answers[generation] = n.race(generation)
		if got := slices.Sorted(slices.Values(answers[generation])); !slices.Equal(got, []int{200, 409}) {
			t.Errorf("under %d they got %v", generation, answers[generation])
		}
	}
	for generation, before := range answers {
		for replica := range f.Replicas {
			for operator, want := range before {
				if got := n.put(replica, generation, operator); got != want {
					t.Errorf("%d of operator %d got %d, and then %d", generation, operator, want, got)
				}
			}
		}
	}
}
