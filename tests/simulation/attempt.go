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

// Attempts is a run of the life of attempts and keys: sidecars that claim, entrust, decide,
// send, recall and refuse, through lost, late and doubled messages, kills and
// freezes. Decision, ledger, table of claims and holdings are the production's;
// the run only carries what they say.
type Attempts struct {
	clock
	rng   *rand.Rand
	base  time.Time
	nodes []*attemptNode
	view  *membership.View
	table *routing.Table
	until time.Duration

	serial int
	// bereft are orders whose claim no living node held when a repeat came.
	runs   map[string]int
	denied map[string]bool // attempts that were promised not to run
	// Broken lists what must never happen and did; the others count.
	Broken                                             []string
	Sent, Ran, Answered, NotRun, Unknown, Kills, Again int
}

// attemptNode is a sidecar, with a backend beside it if it has one.
type attemptNode struct {
	membership.Node
	life     int
	up       bool
	frozen   time.Duration
	ready    bool
	next     uint64
	attempts int
	claims   *idempotency.Table[attemptAnswer]
	ledger   *proxy.AttemptLog
	held     *keyreplication.ReplicaStore
	trusts   *keyreplication.ReplicationTracker
}

// attemptAnswer is what a client gets.
type attemptAnswer struct {
	Fate routing.Outcome
	Text string
}

// NewAttempts lays a run out: some nodes, backends on the last two.
func NewAttempts(seed uint64, nodes int) *Attempts {
	l := &Attempts{rng: rand.New(rand.NewPCG(seed, 19)), base: time.Now(), runs: map[string]int{}, denied: map[string]bool{}}
	l.table, _ = routing.NewTable(config.ControlState{})
	for i := range nodes {
		n := &attemptNode{Node: membership.Node{Addr: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("locality-%d", i%3)}}
		if i >= nodes-2 {
			n.Backends = []membership.Backend{{Instance: fmt.Sprintf("s-%d", i), Service: "s", Zone: n.Zone, Capacity: 4, CapacityShare: 1}}
		}
		l.nodes = append(l.nodes, n)
		l.boot(n)
		n.ready = true
	}
	l.see()
	return l
}

func (l *Attempts) some(d time.Duration) time.Duration {
	return time.Duration(l.rng.Int64N(int64(d) + 1))
}

// boot starts a node with nothing in its memory.
func (l *Attempts) boot(n *attemptNode) {
	n.up, n.ready = true, false
	n.Incarnation = l.rng.Uint64()
	n.claims = idempotency.NewTable(func(attemptAnswer) int { return 1 })
	n.ledger, n.held = proxy.NewAttemptLog(), keyreplication.NewReplicaStore()
	n.trusts = keyreplication.NewReplicationTracker(n.Addr, n.Zone)
}

// see renews everybody's view: all that live.
func (l *Attempts) see() {
	nodes := map[string]membership.Node{}
	for _, n := range l.nodes {
		if n.up {
			nodes[n.Addr] = n.Node
		}
	}
	l.view = membership.NewView(nodes, nil)
}

func (l *Attempts) node(addr string) *attemptNode {
	for _, n := range l.nodes {
		if n.Addr == addr {
			return n
		}
	}
	panic("no such node")
}

// on runs do on a node, once it is awake and if it has not died meanwhile.
func (l *Attempts) on(n *attemptNode, do func()) {
	life := n.life
	l.after(max(0, n.frozen-l.now), func() {
		if n.up && n.life == life {
			do()
		}
	})
}

// call carries a call and its answer; back is called once: with what was
// answered, or with nothing when the call is given up. unsent tells that nobody
// listens there.
func (l *Attempts) call(from, to *attemptNode, wait time.Duration, do func(reply func(any)), back func(answer any, unsent bool)) {
	over, asked := false, from.life
	end := func(answer any, unsent bool) {
		l.on(from, func() {
			if !over && from.life == asked {
				over = true
				back(answer, unsent)
			}
		})
	}
	l.after(wait, func() { end(nil, false) })
	if !to.up {
		l.after(time.Millisecond, func() { end(nil, true) })
		return
	}
	life := to.life
	delay := func() time.Duration {
		if l.rng.IntN(20) == 0 {
			return l.some(3 * time.Second)
		}
		return l.some(5 * time.Millisecond)
	}
	copies := 1
	if l.rng.IntN(20) == 0 {
		copies = 2 // the wire lets none through; the ledger must not need that
	}
	for range copies {
		if l.rng.IntN(20) == 0 {
			continue
		}
		l.after(delay(), func() {
			if to.life != life {
				return // its connection died with it
			}
			l.on(to, func() {
				do(func(answer any) {
					if l.rng.IntN(20) > 0 {
						l.after(delay(), func() { end(answer, false) })
					}
				})
			})
		})
	}
}

// Run has clients send for a while of simulated time.
func (l *Attempts) Run(d time.Duration) {
	l.until = d
	l.every(40*time.Millisecond, l.send)
	l.every(900*time.Millisecond, l.disturb)
	for _, n := range l.nodes {
		l.every(250*time.Millisecond, func() { l.on(n, func() { l.repair(n) }) })
	}
	l.run(d + 30*time.Second)
}

func (l *Attempts) every(d time.Duration, do func()) {
	l.after(l.some(2*d), func() {
		if l.now < l.until {
			do()
			l.every(d, do)
		}
	})
}

// disturb kills a node, or freezes one. What a key is promised to outlive is one
// death after another: the next comes once the claims are handed over and held by
// two again.
func (l *Attempts) disturb() {
	n := l.nodes[l.rng.IntN(len(l.nodes))]
	for _, o := range l.nodes {
		if !o.up || !o.ready {
			return
		}
	}
	if !l.repaired() {
		return
	}
	if l.rng.IntN(3) == 0 {
		n.frozen = l.now + l.some(2*time.Second)
		return
	}
	l.Kills++
	n.life++
	n.up = false
	l.after(l.some(300*time.Millisecond), l.see)
	l.after(l.some(time.Second), func() {
		l.boot(n)
		l.see()
		l.handover(n)
	})
}

// handover gets a node's claims of earlier boots from all others.
func (l *Attempts) handover(n *attemptNode) {
	left := 0
	for _, o := range l.nodes {
		if o == n || !o.up {
			continue
		}
		left++
		l.call(n, o, 400*time.Millisecond, func(reply func(any)) {
			reply(o.held.Handover(keyreplication.HandoverRequest{Owner: n.Addr, Incarnation: n.Incarnation}, l.now))
		}, func(answer any, _ bool) {
			got, ok := answer.(keyreplication.HandoverReply)
			if !ok {
				left = -1 // ask all again
				return
			}
			for _, e := range got.Records {
				n.claims.Restore(e.Key, e.Fingerprint, restored(e), l.now)
				n.trusts.AddReplica(e, o.Node, l.now)
			}
			if left--; left == 0 {
				n.ready = true
			}
		})
	}
	life := n.life
	l.after(500*time.Millisecond, func() {
		if n.life == life && n.up && !n.ready {
			l.handover(n)
		}
	})
}

// repair entrusts anew what holders that have gone had held.
func (l *Attempts) repair(n *attemptNode) {
	for _, lack := range n.trusts.MissingReplicas(keyreplication.Peers(l.view, n.Addr), 1000, l.now) {
		o := l.node(lack.Target.Addr)
		l.call(n, o, 150*time.Millisecond, func(reply func(any)) { reply(o.held.Store(lack.Record, l.now)) }, func(answer any, _ bool) {
			if h, ok := answer.(keyreplication.StoreReply); ok && h.Accepted {
				n.trusts.AddReplica(lack.Record, lack.Target, l.now)
			}
		})
	}
}

// repaired tells whether every claim is held as it should be.
func (l *Attempts) repaired() bool {
	for _, n := range l.nodes {
		if len(n.trusts.MissingReplicas(keyreplication.Peers(l.view, n.Addr), 1, l.now)) > 0 {
			return false
		}
	}
	return true
}

func restored(e keyreplication.Record) attemptAnswer {
	if e.Response == nil {
		return attemptAnswer{Fate: routing.Unknown}
	}
	return attemptAnswer{Fate: routing.Answered, Text: string(e.Response)}
}

// send has a client send an order, and repeat it as clients do: one without a key
// only when it was promised not to have run, one with a key also when its
// connection broke.
func (l *Attempts) send() {
	l.serial++
	l.Sent++
	id, keyed := fmt.Sprintf("order-%d", l.serial), l.rng.IntN(2) == 0
	n := l.nodes[l.rng.IntN(len(l.nodes))]
	var try func(attempt int)
	try = func(attempt int) {
		if attempt > 8 {
			return
		}
		if attempt > 1 {
			l.Again++
		}
		name := fmt.Sprintf("%s/%d", id, attempt)
		life, answered := n.life, false
		got := func(a attemptAnswer) {
			if answered {
				return
			}
			answered = true
			switch a.Fate {
			case routing.Answered:
				l.Answered++
				if a.Text != id {
					l.wrong("%s was answered with that of %q", id, a.Text)
				}
			case routing.Unknown:
				l.Unknown++
			case routing.NotRun:
				l.NotRun++
				l.denied[name] = true
				if !keyed && l.runs[id] > 0 {
					l.wrong("%s was promised not to have run, and had", name)
				}
				l.after(l.some(50*time.Millisecond), func() { try(attempt + 1) })
			}
		}
		if !n.up {
			if keyed {
				l.after(100*time.Millisecond, func() { try(attempt + 1) })
			}
			return
		}
		l.on(n, func() { l.request(n, id, name, keyed, got) })
		// A broken connection is noticed when the sidecar has died.
		l.watch(n, life, func() bool { return answered }, func() {
			answered = true
			if keyed {
				l.after(l.some(50*time.Millisecond), func() { try(attempt + 1) })
			}
		})
	}
	try(1)
}

func (l *Attempts) watch(n *attemptNode, life int, done func() bool, broken func()) {
	l.after(20*time.Millisecond, func() {
		switch {
		case done() || l.now > l.until+20*time.Second:
		case n.life != life:
			broken()
		default:
			l.watch(n, life, done, broken)
		}
	})
}

func (l *Attempts) wrong(format string, args ...any) {
	l.Broken = append(l.Broken, fmt.Sprintf("%v: ", l.now)+fmt.Sprintf(format, args...))
}

// request is what proxy.Outbound does with one.
func (l *Attempts) request(n *attemptNode, id, name string, keyed bool, got func(attemptAnswer)) {
	if !keyed {
		l.attempts(n, id, name, got)
		return
	}
	if !n.ready {
		got(attemptAnswer{Fate: routing.Unknown})
		return
	}
	key := idempotency.Key{Text: id}
	var lay func()
	lay = func() {
		n.claims.Reserve(key, idempotency.Fingerprint{}, l.now, func(a idempotency.Result[attemptAnswer]) {
			switch {
			case a.Retry:
				l.on(n, lay)
			case a.Decision == idempotency.Replay:
				got(a.Response)
			case a.Decision == idempotency.Proceed:
				l.entrust(n, key, id, name, func(a attemptAnswer, keep bool) {
					n.claims.Complete(key, a, keep, l.now)
					got(a)
				})
			default:
				panic("neither crowded nor another inquiry")
			}
		})
	}
	lay()
}

// entrust has two others hold a claim, then runs its request.
func (l *Attempts) entrust(n *attemptNode, key idempotency.Key, id, name string, done func(a attemptAnswer, keep bool)) {
	n.next++
	e := keyreplication.Record{Owner: n.Addr, Incarnation: n.Incarnation, Sequence: n.next, Key: key, TTL: 10*time.Second + idempotency.Retention}
	ranked := keyreplication.RankReplicas(n.Addr, n.Zone, key, keyreplication.Peers(l.view, n.Addr))
	want := min(keyreplication.ReplicationFactor, len(ranked))
	var by []*attemptNode
	asked, over := 0, false
	var ask func()
	settle := func(response []byte, release bool) {
		if told := e; release {
			n.trusts.Remove(told)
		} else {
			told.Response, told.TTL = response, idempotency.Retention
			n.trusts.Complete(told, l.now)
		}
		for _, o := range by {
			e := e
			e.Response = response
			l.call(n, o, time.Second, func(reply func(any)) {
				if release {
					o.held.Release(e)
				} else {
					o.held.Store(e, l.now)
				}
			}, func(any, bool) {})
		}
	}
	finish := func(a attemptAnswer, keep bool) {
		if !over {
			over = true
			done(a, keep)
		}
	}
	ask = func() {
		if asked == len(ranked) {
			settle(nil, true)
			finish(attemptAnswer{Fate: routing.NotRun}, false)
			return
		}
		o := l.node(ranked[asked].Addr)
		asked++
		l.call(n, o, 150*time.Millisecond, func(reply func(any)) { reply(o.held.Store(e, l.now)) }, func(answer any, _ bool) {
			h, ok := answer.(keyreplication.StoreReply)
			switch {
			case over:
			case ok && h.Existing != nil:
				finish(restored(*h.Existing), true)
			case ok && h.Accepted:
				n.trusts.AddReplica(e, o.Node, l.now)
				if by = append(by, o); len(by) == want {
					l.attempts(n, id, name, func(a attemptAnswer) {
						switch a.Fate {
						case routing.Answered:
							settle([]byte(a.Text), false)
						case routing.NotRun:
							settle(nil, true)
						}
						finish(a, a.Fate != routing.NotRun)
					})
				}
			default:
				ask()
			}
		})
	}
	for range want {
		ask()
	}
}

// attempts asks the decision and obeys, as proxy.Outbound.run does.
func (l *Attempts) attempts(n *attemptNode, id, name string, got func(attemptAnswer)) {
	deadline := l.now + 2*time.Second
	d := &routing.Decision{
		Route: config.Route{Name: "w", Service: "s"}, Deadline: l.base.Add(deadline), Zone: n.Zone, Rand: l.rng,
		Conditions: routing.Conditions{Latency: func(membership.Target) routing.LatencyHistogram { return routing.LatencyHistogram{} }, SpendRetry: func() bool { return true }},
	}
	last := ""
	var next func()
	next = func() {
		o := d.Next(l.table, l.view, l.base.Add(l.now))
		if !o.Send {
			a := attemptAnswer{Fate: routing.Answered, Text: last}
			if o.Failure.Status != 0 {
				a = attemptAnswer{Fate: o.Failure.Outcome}
			}
			got(a)
			return
		}
		n.attempts++
		attempt := proxy.Attempt{ID: fmt.Sprintf("%s/%d/%s", n.Addr, n.attempts, name), Incarnation: o.Target.Incarnation, Timeout: deadline - l.now}
		far := l.node(o.Target.Node)
		told := func(fate routing.Outcome) {
			d.Record(routing.AttemptResult{Target: o.Target, Outcome: fate, Reason: "simulated"})
			next()
		}
		l.call(n, far, deadline-l.now, func(reply func(any)) { l.far(far, attempt, id, name, reply) }, func(answer any, unsent bool) {
			rc, ok := answer.(proxy.AttemptResponse)
			switch {
			case unsent:
				told(routing.NotRun)
			case ok:
				last = string(rc.Body)
				told(rc.Outcome)
			default:
				// Only the far side's word that the attempt never ran proves it.
				l.call(n, far, 300*time.Millisecond, func(reply func(any)) {
					reply(far.ledger.Refuse(attempt.ID, l.now) && attempt.Incarnation == far.Incarnation)
				}, func(answer any, _ bool) {
					if proven, ok := answer.(bool); ok && proven {
						told(routing.NotRun)
					} else {
						told(routing.Unknown)
					}
				})
			}
		})
	}
	next()
}

// far is what proxy.Inbound does with an attempt; a backend goes on whatever happens to
// its sidecar once it was written to.
func (l *Attempts) far(n *attemptNode, attempt proxy.Attempt, id, name string, reply func(any)) {
	refuse := func() {
		fate := routing.NotRun
		if !n.ledger.Refuse(attempt.ID, l.now) {
			fate = routing.Unknown
		}
		reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: fate})
	}
	if attempt.Incarnation != n.Incarnation || l.rng.IntN(12) == 0 { // another boot, or full
		refuse()
		return
	}
	if !n.ledger.Begin(attempt.ID, l.now) {
		reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.Unknown})
		return
	}
	began := l.now
	l.after(l.some(20*time.Millisecond), func() { // the backend is dialled
		l.on(n, func() {
			if l.now-began > attempt.Timeout || l.rng.IntN(20) == 0 {
				reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.NotRun}) // shut before the write
				return
			}
			l.ran(id, name)
			l.after(l.some(60*time.Millisecond), func() {
				l.on(n, func() {
					if l.rng.IntN(20) == 0 {
						reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.Unknown}) // its answer is lost
						return
					}
					reply(proxy.AttemptResponse{ID: attempt.ID, Outcome: routing.Answered, Body: []byte(id)})
				})
			})
		})
	})
}

func (l *Attempts) ran(id, name string) {
	l.Ran++
	if l.runs[id]++; l.runs[id] > 1 {
		l.wrong("%s ran %d times", id, l.runs[id])
	}
	if l.denied[name] {
		l.wrong("%s was promised not to run, and ran", name)
	}
}
