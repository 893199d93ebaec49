package watch

import (
	"testing"
	"time"
)

// TestRevisionWaitIsOver checks that a wait for a revision ends as soon as all nodes have applied
// it, after the deadline if more than half of them have, and after appliedGrace in any case.
func TestRevisionWaitIsOver(t *testing.T) {
	const deadline = time.Minute
	end := deadline + appliedGrace
	for name, c := range map[string]struct {
		lagging []string
		now     time.Duration
		want    bool
	}{
		"all applied":                            {[]string{}, 0, true},
		"one of four lags":                       {[]string{"a"}, deadline - 1, false},
		"one of four lags at the deadline":       {[]string{"a"}, deadline, true},
		"two of four lag at the deadline":        {[]string{"a", "b"}, deadline, false},
		"two of four lag after the grace period": {[]string{"a", "b"}, end, true},
		"nodes unknown at the deadline":          {nil, deadline, false},
		"nodes unknown after the grace period":   {nil, end, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (revisionWait{deadline: deadline}).isOver(c.lagging, 4, c.now); got != c.want {
				t.Errorf("got isOver %v, want the opposite", got)
			}
		})
	}
}
