package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// holdFor is how long a core may hold a Follow.
const holdFor = 500 * time.Millisecond // (ours)

// Follower follows one core's feed and changes core on loss. (DESIGN 8.2)
type Follower struct {
	Own    string
	Zone   string
	Seats  func() membership.Seats
	Net    *transport.Net
	Hasten func()
	// Take is handed each piece of news in order, with the core it came from.
	// What the core was sure of counts from when it was asked.
	Take func(ctx context.Context, core membership.Seat, n News, asked time.Time)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var place Follow
	var core membership.Seat
	var holding Holding
	choose := newChoice(f.Own, f.Zone)
	pause := time.NewTimer(0)
	defer pause.Stop()
	<-pause.C
	for ctx.Err() == nil {
		next, ok := choose.next(f.Seats().Live(time.Now()), time.Now())
		if !ok {
			choose.none()
			f.Hasten()
		} else {
			if next.Addr != core.Addr || next.Boot != core.Boot {
				core, place = next, Follow{Wait: holdFor}
			}
			asked := time.Now()
			n, answered := f.ask(ctx, core, holding.Asks(place), choose.patience)
			if answered && !holding.Read(&n) {
				continue // the same is told whole now
			}
			if answered {
				place.Feed, place.Place = n.Feed, n.Place
				f.Take(ctx, core, n, asked)
				choose.took(n.Age, time.Now())
				if n.Age <= unsure {
					continue
				}
			} else {
				choose.missed(time.Since(asked) >= choose.patience, time.Now())
			}
		}
		pause.Reset(spread(max(firstPause, choose.pause)))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// ask asks a core for what came after a place; false if no answer came in time.
func (f *Follower) ask(ctx context.Context, core membership.Seat, place Follow, patience time.Duration) (n News, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	ok = f.Net.Call(ctx, core.Addr, transport.Feed, KindFollow, place).Into(&n)
	return n, ok
}

// spread is a pause, by up to half of it longer, so that those who lost the same core do
// not come back together.
func spread(pause time.Duration) time.Duration {
	return pause + time.Duration(rand.Int64N(int64(pause/2)))
}
