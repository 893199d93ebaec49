package watch

import (
	"testing"
	"time"
)

// A wait for a revision is over as soon as all nodes have applied it; after the deadline, if more
// than half have; and some time later in any case.
func TestRevisionWaitIsOver(t *testing.T) {
	const deadline = time.Minute
	last := deadline + appliedGrace
	for name, c := range map[string]struct {
		lagging []string
		now     time.Duration
		want    bool
	}{
		"all applied":                         {[]string{}, 0, true},
		"one of four lags":                    {[]string{"a"}, deadline - 1, false},
		"one of four lags at the deadline":    {[]string{"a"}, deadline, true},
		"two of four lag at the deadline":     {[]string{"a", "b"}, deadline, false},
		"two of four lag to the end":          {[]string{"a", "b"}, last, true},
		"nodes are not known at the deadline": {nil, deadline, false},
		"nodes are not known to the end":      {nil, last, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (revisionWait{deadline: deadline}).isOver(c.lagging, 4, c.now); got != c.want {
				t.Errorf("over: %v", got)
			}
		})
	}
}
