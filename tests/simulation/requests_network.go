package simulation

import "time"

// whenAwake runs an action on a node once it is not frozen, unless it has died by then.
func (sim *Requests) whenAwake(n *requestNode, action func()) {
	incarnation := n.incarnation
	sim.after(max(0, n.frozenUntil-sim.now), func() {
		if n.up && n.incarnation == incarnation {
			action()
		}
	})
}

// call carries a call and its answer. done is called once: with the answer, or with nil when
// the call times out. unsent tells that nobody listens at the target.
func (sim *Requests) call(from, to *requestNode, timeout time.Duration, handle func(reply func(any)), done func(answer any, unsent bool)) {
	finished, callerIncarnation := false, from.incarnation
	finish := func(answer any, unsent bool) {
		sim.whenAwake(from, func() {
			if !finished && from.incarnation == callerIncarnation {
				finished = true
				done(answer, unsent)
			}
		})
	}
	sim.after(timeout, func() { finish(nil, false) })
	if !to.up {
		sim.after(time.Millisecond, func() { finish(nil, true) })
		return
	}
	incarnation := to.incarnation
	copies := 1
	if sim.rng.IntN(20) == 0 {
		copies = 2 // the transport drops duplicates; the attempt log must not rely on it
	}
	for range copies {
		if sim.rng.IntN(20) == 0 {
			continue // lost
		}
		sim.after(sim.delay(), func() {
			if to.incarnation != incarnation {
				return // its connection died with it
			}
			sim.whenAwake(to, func() {
				handle(func(answer any) {
					if sim.rng.IntN(20) > 0 {
						sim.after(sim.delay(), func() { finish(answer, false) })
					}
				})
			})
		})
	}
}

// delay draws how long a message is on its way; one of twenty is late.
func (sim *Requests) delay() time.Duration {
	if sim.rng.IntN(20) == 0 {
		return sim.randomDuration(3 * time.Second)
	}
	return sim.randomDuration(5 * time.Millisecond)
}
