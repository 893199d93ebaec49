package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
)

// refusalTimeout is the time limit of the call that asks an inbound sidecar to refuse an attempt
// and report whether the attempt never ran.
const refusalTimeout = 300 * time.Millisecond

// serveOutbound serves a client's request as proxy.Outbound does. name identifies one send of the
// request.
func (sim *Requests) serveOutbound(n *requestNode, id, name string, keyed bool, done func(clientAnswer)) {
	run := func(done func(clientAnswer)) { sim.runAttempts(n, id, name, done) }
	if !keyed {
		run(done)
		return
	}
	if !n.ready {
		done(clientAnswer{Outcome: routing.Unknown})
		return
	}
	key := idempotency.Key{Text: id}
	var reserve func()
	reserve = func() {
		n.reservations.Reserve(key, idempotency.Fingerprint{}, sim.now, func(result idempotency.Result[clientAnswer]) {
			switch {
			case result.Retry:
				sim.whenRunning(n, reserve)
			case result.Decision == idempotency.Replay:
				done(result.Response)
			case result.Decision == idempotency.Proceed:
				sim.replicateKey(n, key, run, func(answer clientAnswer, keep bool) {
					if keep {
						n.reservations.Complete(key, answer, sim.now)
					} else {
						n.reservations.Release(key)
					}
					done(answer)
				})
			default:
				panic("unexpected decision on a reservation: the table cannot be full and fingerprints are equal")
			}
		})
	}
	reserve()
}

// runAttempts sends the attempts that the routing decision returns, as proxy.Outbound does.
func (sim *Requests) runAttempts(n *requestNode, id, name string, done func(clientAnswer)) {
	deadline := sim.now + requestDeadline
	decision := &routing.Decision{
		Route: config.Route{Name: "w", Service: "s"}, Deadline: sim.base.Add(deadline), Zone: n.Zone, Rand: sim.rng,
		Conditions: routing.Conditions{Latency: func(membership.Target) routing.LatencyHistogram { return routing.LatencyHistogram{} }, WithdrawRetry: func() bool { return true }},
	}
	lastBody := ""
	var next func()
	next = func() {
		order := decision.Next(sim.table, sim.view, sim.base.Add(sim.now))
		switch order.Kind {
		case routing.Respond:
			done(clientAnswer{Outcome: routing.Answered, Text: lastBody})
			return
		case routing.Fail:
			done(clientAnswer{Outcome: order.Failure.Outcome})
			return
		}
		n.attempts++
		attempt := proxy.Attempt{ID: fmt.Sprintf("%s/%d/%s", n.Addr, n.attempts, name), Incarnation: order.Target.Incarnation, Timeout: deadline - sim.now}
		sim.attempt(n, attempt, order.Target, id, name, func(response proxy.AttemptResponse) {
			lastBody = string(response.Body)
			decision.Record(routing.AttemptResult{Target: order.Target, Outcome: response.Outcome, Reason: "simulated"})
			next()
		})
	}
	next()
}

// attempt sends an attempt to the sidecar of its target and reports the outcome. If there is no
// response, the attempt counts as not run only if that sidecar confirms that it never ran.
func (sim *Requests) attempt(n *requestNode, attempt proxy.Attempt, target membership.Target, id, name string, report func(proxy.AttemptResponse)) {
	inbound := sim.node(target.Node)
	outcome := func(outcome routing.Outcome) {
		report(proxy.AttemptResponse{ID: attempt.ID, Outcome: outcome})
	}
	sim.call(n, inbound, attempt.Timeout, func(reply func(any)) {
		sim.serveInbound(inbound, attempt, id, name, reply)
	}, func(answer any, unsent bool) {
		response, ok := answer.(proxy.AttemptResponse)
		switch {
		case unsent:
			outcome(routing.NotRun)
		case ok:
			report(response)
		default:
			sim.call(n, inbound, refusalTimeout, func(reply func(any)) {
				reply(inbound.attemptLog.Refuse(attempt.ID, sim.now) && attempt.Incarnation == inbound.Incarnation)
			}, func(answer any, _ bool) {
				if proven, ok := answer.(bool); ok && proven {
					outcome(routing.NotRun)
				} else {
					outcome(routing.Unknown)
				}
			})
		}
	})
}

// serveInbound serves an attempt as proxy.Inbound does. Once the request has been written to the
// backend, the backend runs it even if the sidecar is killed.
func (sim *Requests) serveInbound(n *requestNode, attempt proxy.Attempt, id, name string, reply func(any)) {
	respond := func(outcome routing.Outcome, body []byte) {
		reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: outcome, Body: body})
	}
	if attempt.Incarnation != n.Incarnation || sim.rng.IntN(12) == 0 { // for another incarnation, or the backend is at capacity
		if n.attemptLog.Refuse(attempt.ID, sim.now) {
			respond(routing.NotRun, nil)
		} else {
			respond(routing.Unknown, nil)
		}
		return
	}
	if !n.attemptLog.Begin(attempt.ID, sim.now) {
		respond(routing.Unknown, nil)
		return
	}
	began := sim.now
	sim.after(sim.randomDuration(20*time.Millisecond), func() { // delay of connecting to the backend
		sim.whenRunning(n, func() {
			if sim.now-began > attempt.Timeout || sim.rng.IntN(20) == 0 {
				respond(routing.NotRun, nil) // the connection was closed before the write
				return
			}
			sim.runBackend(n, id, name, respond)
		})
	})
}

// runBackend runs a request at the backend. The response may be lost.
func (sim *Requests) runBackend(n *requestNode, id, name string, respond func(outcome routing.Outcome, body []byte)) {
	sim.recordRun(id, name)
	sim.after(sim.randomDuration(60*time.Millisecond), func() {
		sim.whenRunning(n, func() {
			if sim.rng.IntN(20) == 0 {
				respond(routing.Unknown, nil)
				return
			}
			respond(routing.Answered, []byte(id))
		})
	})
}
