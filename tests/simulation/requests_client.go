package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// clientRequest is a request of a client, which may send it several times.
type clientRequest struct {
	sim   *Requests
	node  *requestNode // the sidecar that receives the request
	id    string
	keyed bool // the request has an idempotency key
}

// sendRequest makes a client send a request and retry it. A request without a key is retried only
// if the answer said that it was not run. A request with a key is also retried if its connection
// broke.
func (sim *Requests) sendRequest() {
	sim.serial++
	sim.Sent++
	id, keyed := fmt.Sprintf("order-%d", sim.serial), sim.rng.IntN(2) == 0
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	request := &clientRequest{sim: sim, node: n, id: id, keyed: keyed}
	request.send(1)
}

// send sends the request. attempt counts the sends, starting at 1.
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
	sim.whenRunning(r.node, func() {
		sim.serveOutbound(r.node, r.id, name, r.keyed, func(answer clientAnswer) {
			if !answered {
				answered = true
				r.receive(answer, name, attempt)
			}
		})
	})
	// The client notices that the connection is broken after the sidecar was killed.
	sim.watchConnection(r.node, incarnation, func() bool { return answered }, func() {
		answered = true
		if r.keyed {
			r.retry(attempt)
		}
	})
}

// retry sends the request again after up to 50 ms.
func (r *clientRequest) retry(attempt int) {
	r.sim.after(r.sim.randomDuration(50*time.Millisecond), func() { r.send(attempt + 1) })
}

// receive checks the answer to an attempt, and retries the request if it was not run.
func (r *clientRequest) receive(answer clientAnswer, name string, attempt int) {
	sim := r.sim
	switch answer.Outcome {
	case routing.Answered:
		sim.Answered++
		if answer.Text != r.id {
			sim.violation("%s got the response to %q", r.id, answer.Text)
		}
	case routing.Unknown:
		sim.Unknown++
	case routing.NotRun:
		sim.NotRun++
		sim.promisedNotRun[name] = true
		if !r.keyed && sim.runs[r.id] > 0 {
			sim.violation("the answer to %s said that it was not run, but it had run", name)
		}
		r.retry(attempt)
	}
}

// watchConnection calls broken once the sidecar has been killed. It stops as soon as done returns
// true, or 20 s after the clients have stopped sending.
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
