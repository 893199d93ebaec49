package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
)

// Requests is a run of the life of attempts and keys: sidecars that claim, entrust, decide,
// send, recall and refuse, through lost, late and doubled messages, kills and
// freezes. Decision, ledger, table of claims and holdings are the production's;
// the run only carries what they say.
type Requests struct {
	clock
	rng   *rand.Rand
	base  time.Time
	nodes []*requestNode
	view  *membership.View
	table *routing.Table
	until time.Duration

	serial int
	// bereft are orders whose claim no living node held when a repeat came.
	runs           map[string]int
	promisedNotRun map[string]bool // attempts that were promised not to run
	// Violations lists what must never happen and did; the others count.
	Violations                                           []string
	Sent, Ran, Answered, NotRun, Unknown, Kills, Retries int
}

// requestNode is a sidecar, with a backend beside it if it has one.
type requestNode struct {
	membership.Node
	incarnation  int
	up           bool
	frozenUntil  time.Duration
	ready        bool
	nextRecord   uint64
	attempts     int
	reservations *idempotency.Table[clientAnswer]
	attemptLog   *proxy.AttemptLog
	replicaStore *keyreplication.ReplicaStore
	replication  *keyreplication.ReplicationTracker
}

// clientAnswer is what a client gets.
type clientAnswer struct {
	Outcome routing.Outcome
	Text    string
}

// NewRequests lays a run out: some nodes, backends on the last two.
func NewRequests(seed uint64, nodes int) *Requests {
	sim := &Requests{rng: rand.New(rand.NewPCG(seed, 19)), base: time.Now(), runs: map[string]int{}, promisedNotRun: map[string]bool{}}
	sim.table, _ = routing.NewTable(config.ControlState{})
	for i := range nodes {
		n := &requestNode{Node: membership.Node{Addr: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("locality-%d", i%3)}}
		if i >= nodes-2 {
			n.Backends = []membership.Backend{{Instance: fmt.Sprintf("s-%d", i), Service: "s", Zone: n.Zone, Capacity: 4, CapacityShare: 1}}
		}
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
		n.ready = true
	}
	sim.refreshView()
	return sim
}

func (sim *Requests) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

// start starts a node with nothing in its memory.
func (sim *Requests) start(n *requestNode) {
	n.up, n.ready = true, false
	n.Incarnation = sim.rng.Uint64()
	n.reservations = idempotency.NewTable(func(clientAnswer) int { return 1 })
	n.attemptLog, n.replicaStore = proxy.NewAttemptLog(), keyreplication.NewReplicaStore()
	n.replication = keyreplication.NewReplicationTracker(n.Addr, n.Zone)
}

// refreshView renews everybody's view: all that live.
func (sim *Requests) refreshView() {
	nodes := map[string]membership.Node{}
	for _, n := range sim.nodes {
		if n.up {
			nodes[n.Addr] = n.Node
		}
	}
	sim.view = membership.NewView(nodes, nil)
}

func (sim *Requests) node(addr string) *requestNode {
	for _, n := range sim.nodes {
		if n.Addr == addr {
			return n
		}
	}
	panic("no such node")
}

// whenAwake runs do on a node, once it is awake and if it has not died meanwhile.
func (sim *Requests) whenAwake(n *requestNode, action func()) {
	incarnation := n.incarnation
	sim.after(max(0, n.frozenUntil-sim.now), func() {
		if n.up && n.incarnation == incarnation {
			action()
		}
	})
}

// call carries a call and its answer; back is called once: with what was
// answered, or with nothing when the call is given up. unsent tells that nobody
// listens there.
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
	delay := func() time.Duration {
		if sim.rng.IntN(20) == 0 {
			return sim.randomDuration(3 * time.Second)
		}
		return sim.randomDuration(5 * time.Millisecond)
	}
	copies := 1
	if sim.rng.IntN(20) == 0 {
		copies = 2 // the wire lets none through; the ledger must not need that
	}
	for range copies {
		if sim.rng.IntN(20) == 0 {
			continue
		}
		sim.after(delay(), func() {
			if to.incarnation != incarnation {
				return // its connection died with it
			}
			sim.whenAwake(to, func() {
				handle(func(answer any) {
					if sim.rng.IntN(20) > 0 {
						sim.after(delay(), func() { finish(answer, false) })
					}
				})
			})
		})
	}
}

// Run has clients send for a while of simulated time.
func (sim *Requests) Run(d time.Duration) {
	sim.until = d
	sim.every(40*time.Millisecond, sim.sendRequest)
	sim.every(900*time.Millisecond, sim.injectFault)
	for _, n := range sim.nodes {
		sim.every(250*time.Millisecond, func() { sim.whenAwake(n, func() { sim.repairReplicas(n) }) })
	}
	sim.run(d + 30*time.Second)
}

func (sim *Requests) every(interval time.Duration, action func()) {
	sim.after(sim.randomDuration(2*interval), func() {
		if sim.now < sim.until {
			action()
			sim.every(interval, action)
		}
	})
}

// injectFault kills a node, or freezes one. What a key is promised to outlive is one
// death after another: the next comes once the claims are handed over and held by
// two again.
func (sim *Requests) injectFault() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	for _, peer := range sim.nodes {
		if !peer.up || !peer.ready {
			return
		}
	}
	if !sim.fullyReplicated() {
		return
	}
	if sim.rng.IntN(3) == 0 {
		n.frozenUntil = sim.now + sim.randomDuration(2*time.Second)
		return
	}
	sim.Kills++
	n.incarnation++
	n.up = false
	sim.after(sim.randomDuration(300*time.Millisecond), sim.refreshView)
	sim.after(sim.randomDuration(time.Second), func() {
		sim.start(n)
		sim.refreshView()
		sim.recoverReservations(n)
	})
}

// recoverReservations gets a node's claims of earlier boots from all others.
func (sim *Requests) recoverReservations(n *requestNode) {
	pending := 0
	for _, peer := range sim.nodes {
		if peer == n || !peer.up {
			continue
		}
		pending++
		sim.call(n, peer, 400*time.Millisecond, func(reply func(any)) {
			reply(peer.replicaStore.Handover(keyreplication.HandoverRequest{Owner: n.Addr, Incarnation: n.Incarnation}, sim.now))
		}, func(answer any, _ bool) {
			handed, ok := answer.(keyreplication.HandoverReply)
			if !ok {
				pending = -1 // ask all again
				return
			}
			for _, record := range handed.Records {
				n.reservations.Restore(record.Key, record.Fingerprint, restoredAnswer(record), sim.now)
				n.replication.AddReplica(record, peer.Node, sim.now)
			}
			if pending--; pending == 0 {
				n.ready = true
			}
		})
	}
	incarnation := n.incarnation
	sim.after(500*time.Millisecond, func() {
		if n.incarnation == incarnation && n.up && !n.ready {
			sim.recoverReservations(n)
		}
	})
}

// repairReplicas entrusts anew what holders that have gone had held.
func (sim *Requests) repairReplicas(n *requestNode) {
	for _, missing := range n.replication.MissingReplicas(keyreplication.Peers(sim.view, n.Addr), 1000, sim.now) {
		replica := sim.node(missing.Target.Addr)
		sim.call(n, replica, 150*time.Millisecond, func(reply func(any)) { reply(replica.replicaStore.Store(missing.Record, sim.now)) }, func(answer any, _ bool) {
			if stored, ok := answer.(keyreplication.StoreReply); ok && stored.Accepted {
				n.replication.AddReplica(missing.Record, missing.Target, sim.now)
			}
		})
	}
}

// fullyReplicated tells whether every claim is held as it should be.
func (sim *Requests) fullyReplicated() bool {
	for _, n := range sim.nodes {
		if len(n.replication.MissingReplicas(keyreplication.Peers(sim.view, n.Addr), 1, sim.now)) > 0 {
			return false
		}
	}
	return true
}

func restoredAnswer(record keyreplication.Record) clientAnswer {
	if record.Response == nil {
		return clientAnswer{Outcome: routing.Unknown}
	}
	return clientAnswer{Outcome: routing.Answered, Text: string(record.Response)}
}

// sendRequest has a client send an order, and repeat it as clients do: one without a key
// only when it was promised not to have run, one with a key also when its
// connection broke.
func (sim *Requests) sendRequest() {
	sim.serial++
	sim.Sent++
	id, keyed := fmt.Sprintf("order-%d", sim.serial), sim.rng.IntN(2) == 0
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	var sendAttempt func(attempt int)
	sendAttempt = func(attempt int) {
		if attempt > 8 {
			return
		}
		if attempt > 1 {
			sim.Retries++
		}
		name := fmt.Sprintf("%s/%d", id, attempt)
		incarnation, answered := n.incarnation, false
		receive := func(answer clientAnswer) {
			if answered {
				return
			}
			answered = true
			switch answer.Outcome {
			case routing.Answered:
				sim.Answered++
				if answer.Text != id {
					sim.violation("%s was answered with that of %q", id, answer.Text)
				}
			case routing.Unknown:
				sim.Unknown++
			case routing.NotRun:
				sim.NotRun++
				sim.promisedNotRun[name] = true
				if !keyed && sim.runs[id] > 0 {
					sim.violation("%s was promised not to have run, and had", name)
				}
				sim.after(sim.randomDuration(50*time.Millisecond), func() { sendAttempt(attempt + 1) })
			}
		}
		if !n.up {
			if keyed {
				sim.after(100*time.Millisecond, func() { sendAttempt(attempt + 1) })
			}
			return
		}
		sim.whenAwake(n, func() { sim.serveOutbound(n, id, name, keyed, receive) })
		// A broken connection is noticed when the sidecar has died.
		sim.watchConnection(n, incarnation, func() bool { return answered }, func() {
			answered = true
			if keyed {
				sim.after(sim.randomDuration(50*time.Millisecond), func() { sendAttempt(attempt + 1) })
			}
		})
	}
	sendAttempt(1)
}

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

func (sim *Requests) violation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// serveOutbound is what proxy.Outbound does with one.
func (sim *Requests) serveOutbound(n *requestNode, id, name string, keyed bool, done func(clientAnswer)) {
	if !keyed {
		sim.runAttempts(n, id, name, done)
		return
	}
	if !n.ready {
		done(clientAnswer{Outcome: routing.Unknown})
		return
	}
	key := idempotency.Key{Text: id}
	var reserve func()
	reserve = func() {
		n.reservations.Reserve(key, idempotency.Fingerprint{}, sim.now, func(a idempotency.Result[clientAnswer]) {
			switch {
			case a.Retry:
				sim.whenAwake(n, reserve)
			case a.Decision == idempotency.Replay:
				done(a.Response)
			case a.Decision == idempotency.Proceed:
				sim.replicateKey(n, key, id, name, func(a clientAnswer, keep bool) {
					n.reservations.Complete(key, a, keep, sim.now)
					done(a)
				})
			default:
				panic("neither crowded nor another inquiry")
			}
		})
	}
	reserve()
}

// replicateKey has two others hold a claim, then runs its request.
func (sim *Requests) replicateKey(n *requestNode, key idempotency.Key, id, name string, done func(a clientAnswer, keep bool)) {
	n.nextRecord++
	record := keyreplication.Record{Owner: n.Addr, Incarnation: n.Incarnation, Sequence: n.nextRecord, Key: key, TTL: 10*time.Second + idempotency.Retention}
	ranked := keyreplication.RankReplicas(n.Addr, n.Zone, key, keyreplication.Peers(sim.view, n.Addr))
	want := min(keyreplication.ReplicationFactor, len(ranked))
	var replicas []*requestNode
	next, finished := 0, false
	var askNext func()
	complete := func(response []byte, release bool) {
		if final := record; release {
			n.replication.Remove(final)
		} else {
			final.Response, final.TTL = response, idempotency.Retention
			n.replication.Complete(final, sim.now)
		}
		for _, replica := range replicas {
			record := record
			record.Response = response
			sim.call(n, replica, time.Second, func(reply func(any)) {
				if release {
					replica.replicaStore.Release(record)
				} else {
					replica.replicaStore.Store(record, sim.now)
				}
			}, func(any, bool) {})
		}
	}
	finish := func(a clientAnswer, keep bool) {
		if !finished {
			finished = true
			done(a, keep)
		}
	}
	askNext = func() {
		if next == len(ranked) {
			complete(nil, true)
			finish(clientAnswer{Outcome: routing.NotRun}, false)
			return
		}
		replica := sim.node(ranked[next].Addr)
		next++
		sim.call(n, replica, 150*time.Millisecond, func(reply func(any)) { reply(replica.replicaStore.Store(record, sim.now)) }, func(answer any, _ bool) {
			stored, ok := answer.(keyreplication.StoreReply)
			switch {
			case finished:
			case ok && stored.Existing != nil:
				finish(restoredAnswer(*stored.Existing), true)
			case ok && stored.Accepted:
				n.replication.AddReplica(record, replica.Node, sim.now)
				if replicas = append(replicas, replica); len(replicas) == want {
					sim.runAttempts(n, id, name, func(a clientAnswer) {
						switch a.Outcome {
						case routing.Answered:
							complete([]byte(a.Text), false)
						case routing.NotRun:
							complete(nil, true)
						}
						finish(a, a.Outcome != routing.NotRun)
					})
				}
			default:
				askNext()
			}
		})
	}
	for range want {
		askNext()
	}
}

// runAttempts asks the decision and obeys, as proxy.Outbound.run does.
func (sim *Requests) runAttempts(n *requestNode, id, name string, done func(clientAnswer)) {
	deadline := sim.now + 2*time.Second
	decision := &routing.Decision{
		Route: config.Route{Name: "w", Service: "s"}, Deadline: sim.base.Add(deadline), Zone: n.Zone, Rand: sim.rng,
		Conditions: routing.Conditions{Latency: func(membership.Target) routing.LatencyHistogram { return routing.LatencyHistogram{} }, SpendRetry: func() bool { return true }},
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
		target := sim.node(order.Target.Node)
		report := func(fate routing.Outcome) {
			decision.Record(routing.AttemptResult{Target: order.Target, Outcome: fate, Reason: "simulated"})
			next()
		}
		sim.call(n, target, deadline-sim.now, func(reply func(any)) { sim.serveInbound(target, attempt, id, name, reply) }, func(answer any, unsent bool) {
			response, ok := answer.(proxy.AttemptResponse)
			switch {
			case unsent:
				report(routing.NotRun)
			case ok:
				lastBody = string(response.Body)
				report(response.Outcome)
			default:
				// Only the far side's word that the attempt never ran proves it.
				sim.call(n, target, 300*time.Millisecond, func(reply func(any)) {
					reply(target.attemptLog.Refuse(attempt.ID, sim.now) && attempt.Incarnation == target.Incarnation)
				}, func(answer any, _ bool) {
					if proven, ok := answer.(bool); ok && proven {
						report(routing.NotRun)
					} else {
						report(routing.Unknown)
					}
				})
			}
		})
	}
	next()
}

// serveInbound is what proxy.Inbound does with an attempt; a backend goes on whatever happens to
// its sidecar once it was written to.
func (sim *Requests) serveInbound(n *requestNode, attempt proxy.Attempt, id, name string, reply func(any)) {
	refuse := func() {
		fate := routing.NotRun
		if !n.attemptLog.Refuse(attempt.ID, sim.now) {
			fate = routing.Unknown
		}
		reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: fate})
	}
	if attempt.Incarnation != n.Incarnation || sim.rng.IntN(12) == 0 { // another boot, or full
		refuse()
		return
	}
	if !n.attemptLog.Begin(attempt.ID, sim.now) {
		reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.Unknown})
		return
	}
	began := sim.now
	sim.after(sim.randomDuration(20*time.Millisecond), func() { // the backend is dialled
		sim.whenAwake(n, func() {
			if sim.now-began > attempt.Timeout || sim.rng.IntN(20) == 0 {
				reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.NotRun}) // shut before the write
				return
			}
			sim.recordRun(id, name)
			sim.after(sim.randomDuration(60*time.Millisecond), func() {
				sim.whenAwake(n, func() {
					if sim.rng.IntN(20) == 0 {
						reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.Unknown}) // its answer is lost
						return
					}
					reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.Answered, Body: []byte(id)})
				})
			})
		})
	})
}

func (sim *Requests) recordRun(id, name string) {
	sim.Ran++
	if sim.runs[id]++; sim.runs[id] > 1 {
		sim.violation("%s ran %d times", id, sim.runs[id])
	}
	if sim.promisedNotRun[name] {
		sim.violation("%s was promised not to run, and ran", name)
	}
}
