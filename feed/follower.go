package feed

import (
	"context"
	"slices"
	"time"

	"curlewwalk/cohort"
	"curlewwalk/rendezvous"
	"curlewwalk/wire"
)

const (
	holdFor   = 500 * time.Millisecond // how long a core may hold a Follow (ours)
	giveUp    = 900 * time.Millisecond // how long a follower waits for it (ours)
	pauseOnNo = 100 * time.Millisecond // (ours)
	// unsure is how old a core's certainty may be before another is followed: one that
	// is cut off from the others answers as ever, but hears of no newer word. (DESIGN 8.2)
	unsure = time.Second // (ours)
)

// Follower follows one core's feed and changes core on loss. (DESIGN 8.2)
type Follower struct {
	Own    string
	Seats  func() cohort.Seats
	Net    *wire.Net
	Hasten func()
	// Take is handed each piece of news in order, with the core it came from.
	// What the core was sure of counts from when it was asked.
	Take func(ctx context.Context, core cohort.Seat, n News, asked time.Time)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var place Follow
	var core cohort.Seat
	bad := map[string]time.Time{}
	served := false // the last call was answered
	pause := time.NewTimer(0)
	defer pause.Stop()
	<-pause.C
	for ctx.Err() == nil {
		next, ok := f.choose(bad)
		if !ok {
			f.Hasten()
		} else {
			if served && time.Since(bad[next.Addr]) < unsure {
				next = core // the others are no better
			}
			if next.Addr != core.Addr || next.Boot != core.Boot {
				core, place = next, Follow{Wait: holdFor}
			}
			asked := time.Now()
			call, cancel := context.WithTimeout(ctx, giveUp)
			var n News
			ok = f.Net.Call(call, core.Addr, wire.Feed, KindFollow, place).Into(&n)
			cancel()
			if served = ok; ok {
				place.Feed, place.Place = n.Feed, n.Place
				f.Take(ctx, core, n, asked)
				if n.Age <= unsure {
					continue
				}
			}
			bad[core.Addr] = time.Now() // until another failed later, it comes last
		}
		pause.Reset(pauseOnNo)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// choose takes the live core that ranks first by rendezvous hashing; those
// that failed just now come last.
func (f *Follower) choose(bad map[string]time.Time) (cohort.Seat, bool) {
	live := rendezvous.Rank(f.Own, f.Seats().Live(time.Now()), func(c cohort.Seat) string { return c.Addr })
	if len(live) == 0 {
		return cohort.Seat{}, false
	}
	slices.SortStableFunc(live, func(a, b cohort.Seat) int { return bad[a.Addr].Compare(bad[b.Addr]) })
	return live[0], true
}
