package proxy

import (
	"net/http"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// TestRejections checks that clients get an unchanged status, outcome, reason and retry time for
// each rejected request.
func TestRejections(t *testing.T) {
	for name, c := range map[string]struct {
		rejection *routing.Failure
		want      routing.Failure
	}{
		"too many bodies":    {rejectTooManyBodies, routing.Failure{Status: 503, Outcome: "not-run", Reason: "this node holds as many bodies as it can", RetryAfter: time.Second}},
		"body too large":     {bodyTooLarge(7), routing.Failure{Status: 413, Outcome: "not-run", Reason: "body is over 7 bytes"}},
		"body timeout":       {rejectBodyTimeout, routing.Failure{Status: 408, Outcome: "not-run", Reason: "body took too long", RetryAfter: time.Second}},
		"body incomplete":    {rejectBodyIncomplete, routing.Failure{Status: 400, Outcome: "not-run", Reason: "body was cut short"}},
		"target altered":     {rejectTargetNotPreserved, routing.Failure{Status: 400, Outcome: "not-run", Reason: "this path can't be passed on as it is"}},
		"node stopping":      {nodeStopping(time.Minute), routing.Failure{Status: 503, Outcome: "not-run", Reason: "this node is stopping", RetryAfter: time.Minute}},
		"outdated":           {configurationOutdated(time.Minute), routing.Failure{Status: 503, Outcome: "not-run", Reason: "a newer configuration is in force, and not known here yet", RetryAfter: time.Minute}},
		"no configuration":   {rejectNoConfiguration, routing.Failure{Status: 503, Outcome: "not-run", Reason: "no configuration is known here yet", RetryAfter: time.Second}},
		"route unconfirmed":  {rejectRouteUnconfirmed, routing.Failure{Status: 503, Outcome: "not-run", Reason: "no way is known here, but a newer configuration may be in force", RetryAfter: time.Second}},
		"no route":           {rejectNoRoute, routing.Failure{Status: 404, Outcome: "not-run", Reason: "no way takes this inquiry"}},
		"key too long":       {rejectKeyTooLong, routing.Failure{Status: 400, Outcome: "not-run", Reason: "Idempotency-Key is over 255 bytes"}},
		"keys not recovered": {rejectKeysNotRecovered, routing.Failure{Status: 503, Outcome: "unknown", Reason: "claims on keys are still being handed over to this node", RetryAfter: time.Second}},
		"too many keys":      {rejectTooManyKeys, routing.Failure{Status: 503, Outcome: "not-run", Reason: "too many keys are claimed", RetryAfter: time.Second}},
		"key reused":         {rejectKeyReused, routing.Failure{Status: 422, Outcome: "not-run", Reason: "this key was used for another inquiry"}},
		"key not replicated": {rejectKeyNotReplicated, routing.Failure{Status: 503, Outcome: "not-run", Reason: "the claim on this key could not be entrusted to other nodes", RetryAfter: time.Second}},
		"first still open":   {rejectFirstStillOpen, routing.Failure{Status: 504, Outcome: "unknown", Reason: "expired while the first inquiry of this key was running", RetryAfter: time.Second}},
		"response evicted":   {rejectResponseEvicted, routing.Failure{Status: 502, Outcome: "unknown", Reason: "the first inquiry of this key has ended; its answer is kept no longer", RetryAfter: time.Second}},
		"response lost":      {rejectResponseLost, routing.Failure{Status: 502, Outcome: "unknown", Reason: "this node was restarted before the first inquiry of this key was answered", RetryAfter: time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			if *c.rejection != c.want {
				t.Errorf("got %+v, want %+v", *c.rejection, c.want)
			}
		})
	}
}

// TestRejectionResponse checks that the response to a rejected request includes the trace ID if the
// request has a span, and no trace ID otherwise.
func TestRejectionResponse(t *testing.T) {
	o := NewOutbound(OutboundConfig{}, OutboundDeps{Dialect: DefaultDialect{}})
	response := o.reject(rejectNoRoute)
	if want := `{"outcome":"not-run","reason":"no way takes this inquiry"}`; response.Status != http.StatusNotFound || response.Outcome != routing.NotRun || string(response.Body) != want {
		t.Errorf("got status %d, outcome %q, body %s, want body %s", response.Status, response.Outcome, response.Body, want)
	}
	req := &request{}
	response = o.failRequest(req, rejectKeyReused)
	if want := `{"outcome":"not-run","reason":"this key was used for another inquiry","trace":"` + req.span.Trace.String() + `"}`; response.Status != http.StatusUnprocessableEntity || string(response.Body) != want {
		t.Errorf("got status %d, body %s, want body %s", response.Status, response.Body, want)
	}
}
