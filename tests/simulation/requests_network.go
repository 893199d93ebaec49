package simulation

import "time"

// whenRunning runs an action as soon as a node is not paused. The action is dropped if the node has
// been killed by then.
func (sim *Requests) whenRunning(n *requestNode, action func()) {
	incarnation := n.incarnation
	sim.after(max(0, n.pausedUntil-sim.now), func() {
		if n.up && n.incarnation == incarnation {
			action()
		}
	})
}

// call delivers a call and its answer. done is called once, with the answer, or with nil if the call
// times out. unsent reports that the target is down, so that the call was not sent. done is not
// called if the caller is killed.
func (sim *Requests) call(from, to *requestNode, timeout time.Duration, handle func(reply func(any)), done func(answer any, unsent bool)) {
	finished, callerIncarnation := false, from.incarnation
	finish := func(answer any, unsent bool) {
		sim.whenRunning(from, func() {
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
		copies = 2 // the transport drops duplicates, but the attempt log must not rely on that
	}
	for range copies {
		if sim.rng.IntN(20) == 0 {
			continue // lost
		}
		sim.deliver(to, handle, func(answer any) { finish(answer, false) })
	}
}

// deliver delivers one copy of a call. The answer may be lost.
func (sim *Requests) deliver(to *requestNode, handle func(reply func(any)), answered func(answer any)) {
	incarnation := to.incarnation
	reply := func(answer any) {
		if sim.rng.IntN(20) > 0 {
			sim.after(sim.delay(), func() { answered(answer) })
		}
	}
	sim.after(sim.delay(), func() {
		if to.incarnation == incarnation { // otherwise the connection broke when the target was killed
			sim.whenRunning(to, func() { handle(reply) })
		}
	})
}

// delay draws the delay of a message. One message in 20 takes up to 3 s.
func (sim *Requests) delay() time.Duration {
	if sim.rng.IntN(20) == 0 {
		return sim.randomDuration(3 * time.Second)
	}
	return sim.randomDuration(5 * time.Millisecond)
}
