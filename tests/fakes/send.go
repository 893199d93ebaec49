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

// send puts one request to a sidecar, checks the answer and records both.
func send(ctx context.Context, c *http.Client, l *ledger.Ledger, addr string, p Plan, caller, zone, cause, id, key string) ledger.Answered {
	body := filler("inquiry "+id, p.Body)
	uri := p.Prefix + "item/a%2Fb?id=" + url.QueryEscape(id)
	// net/http sends some requests again by itself: a refusal then says nothing of
	// the earlier sendings.
	var out sendings
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.WithoutCancel(ctx), &httptrace.ClientTrace{GotConn: out.on}), p.Method, "http://"+addr+uri, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(headerID, id)
	req.Header.Set("X-Proof-Extra", "kept as it is")
	req.Header.Set("Curlewwalk-Caller", "a forged name")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	l.Sent(ledger.Sent{ID: id, Cause: cause, Caller: caller, Service: p.Service, Zone: zone, Digest: digest(p.Method, uri, req.Header, body), Repeatable: p.Repeatable, Keyed: key != "", At: time.Now()})
	a := ledger.Answered{ID: id}
	resp, err := c.Do(req)
	if err == nil {
		a.Status, a.Outcome = resp.StatusCode, resp.Header.Get("Curlewwalk-Outcome")
		var got []byte
		got, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && a.Outcome == "" {
			a.Wrong = wrong(id, resp, got)
		}
		if err == nil && a.Outcome != "" && a.Status >= 500 && resp.Header.Get("Retry-After") == "" {
			a.Wrong = "a refusal without Retry-After"
		}
	}
	n := out.count()
	a.Again = max(n-1, 0)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && n == 0:
		a.Outcome = "not-run" // no sidecar is there: nothing was handed over
	case err != nil:
		a.Outcome, a.Cut = "cut", p.Method+" "+err.Error()
	}
	a.At = time.Now()
	l.Answered(a)
	return a
}

// wrong says what is wrong with a backend's answer, if anything.
func wrong(id string, resp *http.Response, body []byte) string {
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
