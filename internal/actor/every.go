package actor

import (
	"context"
	"time"
)

// Every calls do once per interval until ctx ends. Calls never overlap. If a call takes longer
// than the interval, the next call is late and further missed calls are skipped.
func Every(ctx context.Context, interval time.Duration, do func(ctx context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do(ctx)
		}
	}
}
