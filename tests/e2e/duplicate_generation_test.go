package e2e

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"curlewwalk/tests/fleet"
)

// Two operators race with one configuration each under the same generation, at replicas that are killed
// and started in turn, the coordinator first. One is acknowledged, and the other learns that it is not;
// and so they are answered at every replica whenever they ask again.
func TestEqualNumbers(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	// put has a configuration acknowledged or refused, at one replica or the next ones.
	put := func(replica, number, operator int) (status int) {
		err := fleet.Await(ctx, "a final answer", func(ctx context.Context) bool {
			replica++
			r, err := f.Operate(ctx, f.Replicas[replica%3], "PUT", configurationPath, configuration(1000*number+operator), generationHeader, fmt.Sprint(number))
			if err == nil && r.Status != 200 && r.Status != 409 && r.Status != 503 {
				t.Errorf("%d of operator %d: %d %s", number, operator, r.Status, r.Body)
			}
			status = r.Status
			return err == nil && (status == 200 || status == 409)
		})
		if err != nil {
			t.Error(err)
		}
		return status
	}
	race := func(number int) []int {
		got := make([]int, 2)
		done := make(chan bool)
		for operator := range got {
			go func() {
				got[operator] = put(number+operator, number, operator)
				done <- true
			}()
		}
		<-done
		<-done
		return got
	}
	answers := map[int][]int{}
	for number := 1; number <= 24; number++ {
		victim := f.Replicas[number/4%3]
		switch number % 4 {
		case 0:
			victim.Kill()
		case 2:
			if !victim.Running() {
				must(t, victim.Start())
			}
		}
		answers[number] = race(number)
		if got := slices.Sorted(slices.Values(answers[number])); !slices.Equal(got, []int{200, 409}) {
			t.Errorf("under %d they got %v", number, answers[number])
		}
	}
	for number, before := range answers {
		for replica := range f.Replicas {
			for operator, want := range before {
				if got := put(replica, number, operator); got != want {
					t.Errorf("%d of operator %d got %d, and then %d", number, operator, want, got)
				}
			}
		}
	}
}
