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

// sendRequest puts one request to a sidecar, checks the answer and records both.
func sendRequest(ctx context.Context, client *http.Client, records *ledger.Ledger, addr string, plan RequestPlan, caller, zone, cause, id, key string) ledger.Answered {
	body := deterministicBody("inquiry "+id, plan.BodySize)
	uri := plan.Prefix + "item/a%2Fb?id=" + url.QueryEscape(id)
	// net/http sends some requests again by itself: a refusal then says nothing of
	// the earlier sendings.
	var connections connectionCounter
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.WithoutCancel(ctx), &httptrace.ClientTrace{GotConn: connections.gotConn}), plan.Method, "http://"+addr+uri, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(headerID, id)
	req.Header.Set("X-Proof-Extra", "kept as it is")
	req.Header.Set("Curlewwalk-Caller", "a forged name")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	records.RecordSent(ledger.Sent{ID: id, Parent: cause, Caller: caller, Service: plan.Service, Zone: zone, Digest: digest(plan.Method, uri, req.Header, body), Idempotent: plan.Idempotent, Keyed: key != "", At: time.Now()})
	answer := ledger.Answered{ID: id}
	resp, err := client.Do(req)
	if err == nil {
		answer.Status, answer.Outcome = resp.StatusCode, resp.Header.Get("Curlewwalk-Outcome")
		var answerBody []byte
		answerBody, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && answer.Outcome == "" {
			answer.Mismatch = checkAnswer(id, resp, answerBody)
		}
		if err == nil && answer.Outcome != "" && answer.Status >= 500 && resp.Header.Get("Retry-After") == "" {
			answer.Mismatch = "a refusal without Retry-After"
		}
	}
	n := connections.count()
	answer.UnansweredSends = max(n-1, 0)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && n == 0:
		answer.Outcome = "not-run" // no sidecar is there: nothing was handed over
	case err != nil:
		answer.Outcome, answer.ConnectionError = "cut", plan.Method+" "+err.Error()
	}
	answer.At = time.Now()
	records.RecordAnswer(answer)
	return answer
}

// checkAnswer says what is wrong with a backend's answer, if anything.
func checkAnswer(id string, resp *http.Response, body []byte) string {
	switch {
	case resp.StatusCode != http.StatusOK:
		return "status " + resp.Status
	case resp.Header.Get(headerID) != id:
		return "it answers " + resp.Header.Get(headerID)
	case resp.Header.Get(headerDigest) != digest("", "", http.Header{headerID: {id}}, body):
		return "its body does not match its digest"
	}
	return ""
}
