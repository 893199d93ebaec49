package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/routing"
)

// requestKey is a request's idempotency key with the request's fingerprint. A repeat must have the
// same fingerprint.
type requestKey struct {
	idempotency.Key
	fingerprint idempotency.Fingerprint
}

// keyedOutcome is the outcome of the first request of a key.
type keyedOutcome struct {
	response Response
	// keep reports whether repeats get the response. If it is false, the request has not run, and a
	// repeat may run.
	keep bool
}

// runKeyed runs a request under its idempotency key, or directly if it has none. The first request
// of a key runs, and each repeat gets its response. If the first request has not run, a repeat may
// run. (DESIGN 10.3, 10.4)
func (o *Outbound) runKeyed(ctx context.Context, req *request) Response {
	if req.metadata.IdempotencyKey == "" {
		return o.runAttempts(ctx, req)
	}
	key, rejection := o.newRequestKey(req)
	if rejection != nil {
		return o.failRequest(req, rejection)
	}
	first, response, rejection := o.reserveKey(ctx, key)
	switch {
	case rejection != nil:
		return o.failRequest(req, rejection)
	case !first:
		o.Counters.Joined.Add(1)
		return response
	}
	outcome := o.runFirst(ctx, req, key)
	// The reservation is ended under o.Lifetime, because ctx may have ended at the request's deadline.
	if outcome.keep {
		o.Reservations.Complete(o.Lifetime, key.Key, outcome.response)
	} else {
		o.Reservations.Release(o.Lifetime, key.Key)
	}
	return outcome.response
}

// newRequestKey returns the key of a request, or the reason why the request cannot run under it.
func (o *Outbound) newRequestKey(req *request) (key requestKey, rejection *routing.Failure) {
	text := req.metadata.IdempotencyKey
	if len(text) > maxKeyLength {
		return requestKey{}, rejectKeyTooLong
	}
	if !o.KeyReplication.Recovered() {
		// An earlier incarnation of this node may have run a request with the same key, and its
		// records have not been recovered from the other nodes yet.
		return requestKey{}, rejectKeysNotRecovered
	}
	return requestKey{idempotency.Key{Caller: req.caller, Text: text}, req.fingerprint()}, nil
}

// fingerprint returns a digest of the method, host, target and body, which are equal in all repeats
// of a request.
func (req *request) fingerprint() idempotency.Fingerprint {
	attempt := &req.template
	parts := [][]byte{[]byte(attempt.Method), []byte(attempt.Host), []byte(attempt.URI), attempt.Body}
	return idempotency.Fingerprint(sha256.Sum256(bytes.Join(parts, []byte{0})))
}

// reserveKey reserves a key on this node. first reports whether the request is the first one of the
// key, which must run. Otherwise reserveKey waits for the first request, and returns its response
// or the reason why there is none.
func (o *Outbound) reserveKey(ctx context.Context, key requestKey) (first bool, response Response, rejection *routing.Failure) {
	decision, response, err := o.Reservations.Reserve(ctx, key.Key, key.fingerprint)
	switch decision {
	case idempotency.TableFull:
		return false, Response{}, rejectTooManyKeys
	case idempotency.ResponseEvicted:
		return false, Response{}, rejectResponseEvicted
	case idempotency.KeyReused:
		return false, Response{}, rejectKeyReused
	case idempotency.Replay:
		if err != nil { // ctx ended before the first request did
			return false, Response{}, rejectFirstStillOpen
		}
		return false, response, nil
	}
	return true, Response{}, nil
}

// runFirst runs the first request of a key after the reservation has been replicated to other
// nodes. One of them may have the record of an earlier request of the key that this node has lost.
func (o *Outbound) runFirst(ctx context.Context, req *request, key requestKey) keyedOutcome {
	reservation, err := o.KeyReplication.Replicate(ctx, key.Key, key.fingerprint, time.Until(req.deadline))
	var reserved *keyreplication.ReservedError
	switch {
	case errors.As(err, &reserved) && reserved.Existing.Fingerprint != key.fingerprint:
		return keyedOutcome{response: o.failRequest(req, rejectKeyReused)}
	case errors.As(err, &reserved):
		return keyedOutcome{response: o.storedResponse(reserved.Existing), keep: true}
	case err != nil:
		return keyedOutcome{response: o.failRequest(req, rejectKeyNotReplicated)}
	}
	response := o.runAttempts(ctx, req)
	if response.Outcome == routing.NotRun {
		o.KeyReplication.Release(ctx, reservation)
		return keyedOutcome{response: response}
	}
	o.KeyReplication.Complete(ctx, reservation, response.marshal())
	return keyedOutcome{response: response, keep: true}
}

// RestoreKey restores the record of a key that an earlier incarnation of this node reserved.
// (DESIGN 10.4)
func (o *Outbound) RestoreKey(ctx context.Context, record keyreplication.Record) {
	o.Reservations.Restore(ctx, record.Key, record.Fingerprint, o.storedResponse(record))
}

// storedResponse returns the response in a key's record. If the record has no response, it is
// unknown whether the request has run.
func (o *Outbound) storedResponse(record keyreplication.Record) Response {
	response, ok := unmarshalResponse(record.Response)
	if !ok {
		return o.reject(rejectResponseLost)
	}
	return response
}
