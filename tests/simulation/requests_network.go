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
	copies := 1
	if sim.rng.IntN(20) == 0 {
		copies = 2 // the transport drops duplicates; the attempt log must not rely on it
	}
	for range copies {
		if sim.rng.IntN(20) == 0 {
			continue // lost
		}
		sim.deliver(to, handle, func(answer any) { finish(answer, false) })
	}
}

// deliver delivers one copy of a call. Its answer may be lost.
func (sim *Requests) deliver(to *requestNode, handle func(reply func(any)), answered func(answer any)) {
	incarnation := to.incarnation
	reply := func(answer any) {
		if sim.rng.IntN(20) > 0 {
			sim.after(sim.delay(), func() { answered(answer) })
		}
	}
	sim.after(sim.delay(), func() {
		if to.incarnation == incarnation { // else its connection died with it
			sim.whenAwake(to, func() { handle(reply) })
		}
	})
}

// delay draws how long a message is on its way; one of twenty is late.
func (sim *Requests) delay() time.Duration {
	if sim.rng.IntN(20) == 0 {
		return sim.randomDuration(3 * time.Second)
	}
	return sim.randomDuration(5 * time.Millisecond)
}
