package actor

import (
	"context"
	"time"
)

// Every calls do in each interval until ctx ends. A call that takes longer than the interval
// makes the next one late; calls never overlap and do not pile up.
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
