package fakes

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"curlewwalk/tests/ledger"
)

// request is a request that a client or a backend sends to a sidecar.
type request struct {
	address string // address of the sidecar
	plan    RequestPlan
	caller  string // service of the sender, empty for a client
	zone    string // zone of the sender
	parent  string // ID of the request that caused this inner call, or empty
	id      string
	key     string // idempotency key, or empty
}

// build returns the HTTP request and the ledger record of sending it at the current time.
func (r request) build(ctx context.Context) (*http.Request, ledger.Sent) {
	p := r.plan
	body := deterministicBody("request "+r.id, p.BodySize)
	uri := p.Prefix + "item/a%2Fb?id=" + url.QueryEscape(r.id)
	req, err := http.NewRequestWithContext(ctx, p.Method, "http://"+r.address+uri, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(headerID, r.id)
	req.Header.Set(headerExtra, "kept as it is")
	req.Header.Set(headerCaller, "a forged name")
	if r.key != "" {
		req.Header.Set(headerIdempotencyKey, r.key)
	}
	return req, ledger.Sent{
		ID: r.id, Parent: r.parent, Caller: r.caller, Service: p.Service, Zone: r.zone, Digest: digest(p.Method, uri, req.Header, body),
		Idempotent: p.Idempotent, Keyed: r.key != "", At: time.Now(),
	}
}

// sendRequest sends one request, checks the answer, and records both in the ledger.
func sendRequest(ctx context.Context, client *http.Client, records *ledger.Ledger, r request) ledger.Answered {
	// net/http resends some requests by itself. A refusal of the last send does not show whether
	// an earlier send was run, so the sends are counted.
	var connections connectionCounter
	trace := &httptrace.ClientTrace{GotConn: connections.gotConn}
	req, sent := r.build(httptrace.WithClientTrace(context.WithoutCancel(ctx), trace))
	records.RecordSent(sent)
	answer := ledger.Answered{ID: r.id}
	resp, err := client.Do(req)
	if err == nil {
		err = readAnswer(resp, &answer)
	}
	sends := connections.count()
	answer.UnansweredSends = max(sends-1, 0)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && sends == 0:
		answer.Outcome = ledger.OutcomeNotRun // no sidecar is listening, so nothing was sent
	case err != nil:
		answer.Outcome, answer.ConnectionError = ledger.OutcomeInterrupted, r.plan.Method+" "+err.Error()
	}
	answer.At = time.Now()
	records.RecordAnswer(answer)
	return answer
}

// readAnswer reads a response, stores it in an answer, and checks it.
func readAnswer(resp *http.Response, answer *ledger.Answered) error {
	answer.Status, answer.Outcome = resp.StatusCode, resp.Header.Get(headerOutcome)
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case err != nil:
		return err
	case answer.Outcome == "":
		answer.Mismatch = checkAnswer(answer.ID, resp, body)
	case answer.Status >= 500 && resp.Header.Get(headerRetryAfter) == "":
		answer.Mismatch = "the refusal has no Retry-After header"
	}
	return nil
}

// checkAnswer returns a description of the fault in a backend's answer, or "" if the answer is
// correct.
func checkAnswer(id string, resp *http.Response, body []byte) string {
	switch {
	case resp.StatusCode != http.StatusOK:
		return "the answer has status " + resp.Status
	case resp.Header.Get(headerID) != id:
		return "the answer is for request " + resp.Header.Get(headerID)
	case resp.Header.Get(headerDigest) != digest("", "", http.Header{headerID: {id}}, body):
		return "the body of the answer does not match its digest"
	}
	return ""
}
