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

// requestKey is a request's idempotency key, with the fingerprint that a repeat must share.
type requestKey struct {
	idempotency.Key
	fingerprint idempotency.Fingerprint
}

// keyedOutcome is how the first request of a key has ended.
type keyedOutcome struct {
	response Response
	// keep says that repeats get the response; else the request has not run, and a repeat may.
	keep bool
}

// runKeyed runs a request under its idempotency key; at once if it has none. The first request
// of a key runs, and each repeat gets its response. (DESIGN 10.3, 10.4)
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
	if outcome.keep {
		o.Reservations.Complete(o.Lifetime, key.Key, outcome.response)
	} else {
		o.Reservations.Release(o.Lifetime, key.Key)
	}
	return outcome.response
}

// newRequestKey returns the key of a request, or why the request can't run under it.
func (o *Outbound) newRequestKey(req *request) (key requestKey, rejection *routing.Failure) {
	text := req.metadata.IdempotencyKey
	if len(text) > maxKeyLength {
		return requestKey{}, rejectKeyTooLong
	}
	if !o.KeyReplication.Recovered() {
		// An earlier incarnation of this node may have run what this repeats.
		return requestKey{}, rejectKeysNotRecovered
	}
	return requestKey{idempotency.Key{Caller: req.caller, Text: text}, req.fingerprint()}, nil
}

// fingerprint returns a digest of what makes two requests the same one.
func (req *request) fingerprint() idempotency.Fingerprint {
	attempt := &req.template
	parts := [][]byte{[]byte(attempt.Method), []byte(attempt.Host), []byte(attempt.URI), attempt.Body}
	return idempotency.Fingerprint(sha256.Sum256(bytes.Join(parts, []byte{0})))
}

// reserveKey reserves a key on this node. It reports whether the request is the key's first one,
// which has to run. Else it waits for the first one, and returns its response or why there is none.
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
		if err != nil {
			return false, Response{}, rejectFirstStillOpen
		}
		return false, response, nil
	}
	return true, Response{}, nil
}

// runFirst runs the first request of a key, once the reservation is replicated to other nodes:
// one of them may know an earlier request of the key, which this node has forgotten.
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

// RestoreKey takes over the record of a key that an earlier incarnation of this node reserved.
// (DESIGN 10.4)
func (o *Outbound) RestoreKey(ctx context.Context, record keyreplication.Record) {
	o.Reservations.Restore(ctx, record.Key, record.Fingerprint, o.storedResponse(record))
}

// storedResponse returns the response in a key's record. If there is none, nobody knows whether the
// request has run.
func (o *Outbound) storedResponse(record keyreplication.Record) Response {
	response, ok := unmarshalResponse(record.Response)
	if !ok {
		return o.reject(rejectResponseLost)
	}
	return response
}
