package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/routing"
)

// claimed runs the request under its Idempotency-Key, if it has one.
func (n *Near) claimed(ctx context.Context, q *request, text string) Response {
	if text == "" {
		return n.run(ctx, q)
	}
	if len(text) > longestKey {
		return n.own(q, http.StatusBadRequest, routing.NotRun, fmt.Sprintf("%s is over %d bytes", HeaderKey, longestKey), 0)
	}
	if !n.Custody.Recovered() {
		// An earlier life of this node may have run what this repeats.
		return n.own(q, http.StatusServiceUnavailable, routing.Unknown, "claims on keys are still being handed over to this node", time.Second)
	}
	key := idempotency.Key{Caller: q.caller, Text: text}
	fingerprint := idempotency.Fingerprint(sha256.Sum256(bytes.Join([][]byte{[]byte(q.attempt.Method), []byte(q.attempt.Host), []byte(q.attempt.URI), q.attempt.Body}, []byte{0})))
	verdict, rc, err := n.Claims.Reserve(ctx, key, fingerprint)
	switch {
	case err != nil && verdict == idempotency.Replay:
		return n.own(q, http.StatusGatewayTimeout, routing.Unknown, "expired while the first inquiry of this key was running", time.Second)
	case verdict == idempotency.TableFull:
		return n.own(q, http.StatusServiceUnavailable, routing.NotRun, "too many keys are claimed", time.Second)
	case verdict == idempotency.ResponseEvicted:
		return n.own(q, http.StatusBadGateway, routing.Unknown, "the first inquiry of this key has ended; its answer is kept no longer", time.Second)
	case verdict == idempotency.KeyReused:
		return n.own(q, http.StatusUnprocessableEntity, routing.NotRun, "this key was used for another inquiry", 0)
	case verdict == idempotency.Replay:
		n.Counts.Joined.Add(1)
		return rc
	}
	reservation, known, ok := n.Custody.Replicate(ctx, key, fingerprint, time.Until(q.deadline))
	keep := true
	switch {
	case known != nil && known.Fingerprint != fingerprint:
		rc, keep = n.own(q, http.StatusUnprocessableEntity, routing.NotRun, "this key was used for another inquiry", 0), false
	case known != nil:
		rc = n.restored(*known)
	case !ok:
		rc, keep = n.own(q, http.StatusServiceUnavailable, routing.NotRun, "the claim on this key could not be entrusted to other nodes", time.Second), false
		n.Custody.Complete(ctx, reservation, nil)
	default:
		rc = n.run(ctx, q)
		keep = rc.Fate != routing.NotRun
		n.Custody.Complete(ctx, reservation, rc.pack(keep))
	}
	n.Claims.Complete(n.Life, key, rc, keep)
	return rc
}

// Restore takes a claim of an earlier life of this node. (DESIGN 10.4)
func (n *Near) Restore(ctx context.Context, e keyreplication.Record) {
	n.Claims.Restore(ctx, e.Key, e.Fingerprint, n.restored(e))
}

// restored is the response of such a claim. Whether one without a response ran,
// nobody knows.
func (n *Near) restored(e keyreplication.Record) Response {
	rc, ok := unpack(e.Response)
	if !ok {
		rc = n.word(http.StatusBadGateway, routing.Unknown, "this node was restarted before the first inquiry of this key was answered", "", time.Second)
	}
	return rc
}
