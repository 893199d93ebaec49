package e2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"curlewwalk/tests/fleet"
)

// generationRace is a fleet of replicas at which two operators use the same generations.
type generationRace struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
}

// put puts the configuration of an operator under a generation. It starts at the replica after the
// given one and tries the next ones until the answer is 200 (acknowledged) or 409 (refused).
func (n *generationRace) put(replica, generation, operator int) (status int) {
	err := fleet.Await(n.ctx, "a final answer", func(ctx context.Context) bool {
		replica++
		body := configuration(1000*generation + operator)
		r, err := n.Operate(ctx, n.Replicas[replica%len(n.Replicas)], "PUT", configurationPath, body, generationHeader, fmt.Sprint(generation))
		if err == nil && r.Status != 200 && r.Status != 409 && r.Status != 503 {
			n.t.Errorf("generation %d of operator %d: got %d %s, want 200, 409 or 503", generation, operator, r.Status, r.Body)
		}
		status = r.Status
		return err == nil && (status == 200 || status == 409)
	})
	if err != nil {
		n.t.Error(err)
	}
	return status
}

// race lets both operators put at the same time, each at its own replica, and returns the statuses.
func (n *generationRace) race(generation int) []int {
	statuses := make([]int, 2)
	var racing sync.WaitGroup
	for operator := range statuses {
		racing.Go(func() { statuses[operator] = n.put(generation+operator, generation, operator) })
	}
	racing.Wait()
	return statuses
}

// killOrRestart kills a replica before every fourth generation, and starts it two generations later.
func (n *generationRace) killOrRestart(generation int) {
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

// TestDuplicateGeneration checks that a generation is never acknowledged for two configurations. Two
// operators put different configurations under the same generation while replicas are killed and
// restarted in turn, the coordinator first. One must be acknowledged and the other refused. Every
// replica must give the same answers to later repeats.
func TestDuplicateGeneration(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	n := &generationRace{Fleet: f, t: t, ctx: ctx}
	answers := map[int][]int{}
	for generation := 1; generation <= 24; generation++ {
		n.killOrRestart(generation)
		answers[generation] = n.race(generation)
		if got := slices.Sorted(slices.Values(answers[generation])); !slices.Equal(got, []int{200, 409}) {
			t.Errorf("generation %d: the operators got %v, want one 200 and one 409", generation, answers[generation])
		}
	}
	for generation, before := range answers {
		for replica := range f.Replicas {
			for operator, want := range before {
				if got := n.put(replica, generation, operator); got != want {
					t.Errorf("generation %d of operator %d got %d, and %d for a repeat", generation, operator, want, got)
				}
			}
		}
	}
}
