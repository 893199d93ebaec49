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

// runKeyed runs the request under its Idempotency-Key, if it has one.
func (n *Outbound) runKeyed(ctx context.Context, req *request, text string) Response {
	if text == "" {
		return n.runAttempts(ctx, req)
	}
	if len(text) > maxKeyLength {
		return n.localReplyTo(req, http.StatusBadRequest, routing.NotRun, fmt.Sprintf("%s is over %d bytes", HeaderKey, maxKeyLength), 0)
	}
	if !n.KeyReplication.Recovered() {
		// An earlier life of this node may have run what this repeats.
		return n.localReplyTo(req, http.StatusServiceUnavailable, routing.Unknown, "claims on keys are still being handed over to this node", time.Second)
	}
	key := idempotency.Key{Caller: req.caller, Text: text}
	fingerprint := idempotency.Fingerprint(sha256.Sum256(bytes.Join([][]byte{[]byte(req.template.Method), []byte(req.template.Host), []byte(req.template.URI), req.template.Body}, []byte{0})))
	decision, response, err := n.Reservations.Reserve(ctx, key, fingerprint)
	switch {
	case err != nil && decision == idempotency.Replay:
		return n.localReplyTo(req, http.StatusGatewayTimeout, routing.Unknown, "expired while the first inquiry of this key was running", time.Second)
	case decision == idempotency.TableFull:
		return n.localReplyTo(req, http.StatusServiceUnavailable, routing.NotRun, "too many keys are claimed", time.Second)
	case decision == idempotency.ResponseEvicted:
		return n.localReplyTo(req, http.StatusBadGateway, routing.Unknown, "the first inquiry of this key has ended; its answer is kept no longer", time.Second)
	case decision == idempotency.KeyReused:
		return n.localReplyTo(req, http.StatusUnprocessableEntity, routing.NotRun, "this key was used for another inquiry", 0)
	case decision == idempotency.Replay:
		n.Counters.Joined.Add(1)
		return response
	}
	reservation, known, ok := n.KeyReplication.Replicate(ctx, key, fingerprint, time.Until(req.deadline))
	keep := true
	switch {
	case known != nil && known.Fingerprint != fingerprint:
		response, keep = n.localReplyTo(req, http.StatusUnprocessableEntity, routing.NotRun, "this key was used for another inquiry", 0), false
	case known != nil:
		response = n.restoredResponse(*known)
	case !ok:
		response, keep = n.localReplyTo(req, http.StatusServiceUnavailable, routing.NotRun, "the claim on this key could not be entrusted to other nodes", time.Second), false
		n.KeyReplication.Complete(ctx, reservation, nil)
	default:
		response = n.runAttempts(ctx, req)
		keep = response.Fate != routing.NotRun
		n.KeyReplication.Complete(ctx, reservation, response.pack(keep))
	}
	n.Reservations.Complete(n.Lifetime, key, response, keep)
	return response
}

// RestoreKey takes a claim of an earlier life of this node. (DESIGN 10.4)
func (n *Outbound) RestoreKey(ctx context.Context, record keyreplication.Record) {
	n.Reservations.Restore(ctx, record.Key, record.Fingerprint, n.restoredResponse(record))
}

// restoredResponse is the response of such a claim. Whether one without a response ran,
// nobody knows.
func (n *Outbound) restoredResponse(record keyreplication.Record) Response {
	response, ok := unmarshalResponse(record.Response)
	if !ok {
		response = n.localReply(http.StatusBadGateway, routing.Unknown, "this node was restarted before the first inquiry of this key was answered", "", time.Second)
	}
	return response
}
