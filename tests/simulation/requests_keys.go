package simulation

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/routing"
)

// Time limits of the calls between the owner of a key and its replicas.
const (
	storeTimeout    = 150 * time.Millisecond
	completeTimeout = time.Second
	handoverTimeout = 400 * time.Millisecond
)

// keyedRequest is a request whose key is being replicated. The request runs once enough replicas
// have stored the key.
type keyedRequest struct {
	sim    *Requests
	owner  *requestNode
	record keyreplication.Record
	// ranked are the candidate replicas in order of preference, next is the index of the first
	// that has not been asked, and want is the required number of replicas.
	ranked     []*requestNode
	next, want int
	replicas   []*requestNode // replicas that have stored the key
	finished   bool
	run        func(done func(clientAnswer))
	done       func(answer clientAnswer, keep bool)
}

// replicateKey stores a key at its replicas and then runs the request. done is called with the
// answer and whether to keep the answer for repeats of the request.
func (sim *Requests) replicateKey(n *requestNode, key idempotency.Key, run func(done func(clientAnswer)), done func(answer clientAnswer, keep bool)) {
	n.nextRecord++
	ranked := keyreplication.RankReplicas(n.Addr, n.Zone, key, keyreplication.Peers(sim.view, n.Addr))
	k := &keyedRequest{
		sim: sim, owner: n, want: min(keyreplication.ReplicationFactor, len(ranked)), run: run, done: done,
		record: keyreplication.Record{Owner: n.Addr, Incarnation: n.Incarnation, Sequence: n.nextRecord, Key: key, TTL: 10*time.Second + idempotency.Retention},
	}
	for _, candidate := range ranked {
		k.ranked = append(k.ranked, sim.node(candidate.Addr))
	}
	for range k.want {
		k.storeAtNext()
	}
}

// storeAtNext asks the next candidate to store the key. If no candidate is left, the request is not
// run.
func (k *keyedRequest) storeAtNext() {
	if k.next == len(k.ranked) {
		k.complete(nil, true)
		k.finish(clientAnswer{Outcome: routing.NotRun}, false)
		return
	}
	candidate := k.ranked[k.next]
	k.next++
	k.sim.call(k.owner, candidate, storeTimeout, func(reply func(any)) {
		reply(candidate.replicaStore.Store(k.record, k.sim.now))
	}, func(answer any, _ bool) {
		stored, ok := answer.(keyreplication.StoreReply)
		switch {
		case k.finished:
		case ok && stored.Existing != nil:
			k.finish(restoredAnswer(*stored.Existing), true)
		case ok && stored.Accepted:
			k.stored(candidate)
		default:
			k.storeAtNext()
		}
	})
}

// stored records that a replica has stored the key, and runs the request if enough replicas have.
func (k *keyedRequest) stored(replica *requestNode) {
	k.owner.replication.AddReplica(k.record, replica.Node, k.sim.now)
	if k.replicas = append(k.replicas, replica); len(k.replicas) != k.want {
		return
	}
	k.run(func(answer clientAnswer) {
		switch answer.Outcome {
		case routing.Answered:
			k.complete([]byte(answer.Text), false)
		case routing.NotRun:
			k.complete(nil, true)
		}
		k.finish(answer, answer.Outcome != routing.NotRun)
	})
}

// complete sends the response to the replicas, or makes them release the key.
func (k *keyedRequest) complete(response []byte, release bool) {
	if final := k.record; release {
		k.owner.replication.Remove(final)
	} else {
		final.Response, final.TTL = response, idempotency.Retention
		k.owner.replication.Complete(final, k.sim.now)
	}
	record := k.record
	record.Response = response
	for _, replica := range k.replicas {
		k.sim.call(k.owner, replica, completeTimeout, func(func(any)) {
			if release {
				replica.replicaStore.Release(record)
			} else {
				replica.replicaStore.Store(record, k.sim.now)
			}
		}, func(any, bool) {})
	}
}

// finish calls done with the answer, unless it was called before.
func (k *keyedRequest) finish(answer clientAnswer, keep bool) {
	if !k.finished {
		k.finished = true
		k.done(answer, keep)
	}
}

// recoverReservations requests the keys of a node's earlier incarnations from all other nodes. The
// node is ready once all have answered. The requests are repeated every 500 ms until then.
func (sim *Requests) recoverReservations(n *requestNode) {
	pending := 0
	for _, peer := range sim.nodes {
		if peer == n || !peer.up {
			continue
		}
		pending++
		sim.call(n, peer, handoverTimeout, func(reply func(any)) {
			reply(peer.replicaStore.Handover(keyreplication.HandoverRequest{Owner: n.Addr, Incarnation: n.Incarnation}, sim.now))
		}, func(answer any, _ bool) {
			handover, ok := answer.(keyreplication.HandoverReply)
			if !ok {
				pending = -1 // all nodes are asked again in the next round
				return
			}
			sim.restore(n, peer, handover)
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

// restore restores the reservations of the keys that a replica has handed over.
func (sim *Requests) restore(n, replica *requestNode, handover keyreplication.HandoverReply) {
	for _, record := range handover.Records {
		n.reservations.Restore(record.Key, record.Fingerprint, restoredAnswer(record), sim.now)
		n.replication.AddReplica(record, replica.Node, sim.now)
	}
}

// repairReplicas stores keys at new replicas where replicas are missing.
func (sim *Requests) repairReplicas(n *requestNode) {
	for _, missing := range n.replication.MissingReplicas(keyreplication.Peers(sim.view, n.Addr), 1000, sim.now) {
		replica := sim.node(missing.Target.Addr)
		sim.call(n, replica, storeTimeout, func(reply func(any)) {
			reply(replica.replicaStore.Store(missing.Record, sim.now))
		}, func(answer any, _ bool) {
			if stored, ok := answer.(keyreplication.StoreReply); ok && stored.Accepted {
				n.replication.AddReplica(missing.Record, missing.Target, sim.now)
			}
		})
	}
}

// fullyReplicated reports whether no key lacks a replica.
func (sim *Requests) fullyReplicated() bool {
	for _, n := range sim.nodes {
		if len(n.replication.MissingReplicas(keyreplication.Peers(sim.view, n.Addr), 1, sim.now)) > 0 {
			return false
		}
	}
	return true
}

// restoredAnswer returns the answer to a repeat of a request whose key was recovered. The outcome
// is unknown if the record has no response yet.
func restoredAnswer(record keyreplication.Record) clientAnswer {
	if record.Response == nil {
		return clientAnswer{Outcome: routing.Unknown}
	}
	return clientAnswer{Outcome: routing.Answered, Text: string(record.Response)}
}
