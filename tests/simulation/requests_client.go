package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// clientRequest is a request as its client sees it: it may be sent several times.
type clientRequest struct {
	sim   *Requests
	node  *requestNode // the sidecar that the client sends to
	id    string
	keyed bool // it bears an idempotency key
}

// sendRequest has a client send a request, and retry it as clients do: one without a key
// only when it was promised not to have run, one with a key also when its connection broke.
func (sim *Requests) sendRequest() {
	sim.serial++
	sim.Sent++
	id, keyed := fmt.Sprintf("order-%d", sim.serial), sim.rng.IntN(2) == 0
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	request := &clientRequest{sim: sim, node: n, id: id, keyed: keyed}
	request.send(1)
}

// send sends the request for the nth time.
func (r *clientRequest) send(attempt int) {
	sim := r.sim
	if attempt > maxClientAttempts {
		return
	}
	if attempt > 1 {
		sim.Retries++
	}
	if !r.node.up {
		if r.keyed {
			sim.after(100*time.Millisecond, func() { r.send(attempt + 1) })
		}
		return
	}
	name := fmt.Sprintf("%s/%d", r.id, attempt)
	incarnation, answered := r.node.incarnation, false
	sim.whenAwake(r.node, func() {
		sim.serveOutbound(r.node, r.id, name, r.keyed, func(answer clientAnswer) {
			if !answered {
				answered = true
				r.receive(answer, name, attempt)
			}
		})
	})
	// A broken connection is noticed when the sidecar has died.
	sim.watchConnection(r.node, incarnation, func() bool { return answered }, func() {
		answered = true
		if r.keyed {
			r.retry(attempt)
		}
	})
}

// retry sends the request again after a moment.
func (r *clientRequest) retry(attempt int) {
	r.sim.after(r.sim.randomDuration(50*time.Millisecond), func() { r.send(attempt + 1) })
}

// receive checks the answer to the nth attempt, and retries what was not run.
func (r *clientRequest) receive(answer clientAnswer, name string, attempt int) {
	sim := r.sim
	switch answer.Outcome {
	case routing.Answered:
		sim.Answered++
		if answer.Text != r.id {
			sim.violation("%s was answered with the response of %q", r.id, answer.Text)
		}
	case routing.Unknown:
		sim.Unknown++
	case routing.NotRun:
		sim.NotRun++
		sim.promisedNotRun[name] = true
		if !r.keyed && sim.runs[r.id] > 0 {
			sim.violation("%s was promised not to have run, and had", name)
		}
		r.retry(attempt)
	}
}

// watchConnection calls broken once the sidecar has died, unless done says before that there
// is nothing to wait for any more.
func (sim *Requests) watchConnection(n *requestNode, incarnation int, done func() bool, broken func()) {
	sim.after(20*time.Millisecond, func() {
		switch {
		case done() || sim.now > sim.until+20*time.Second:
		case n.incarnation != incarnation:
			broken()
		default:
			sim.watchConnection(n, incarnation, done, broken)
		}
	})
}
