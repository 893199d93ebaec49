package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// scrape reads a handler as Prometheus does.
func scrape(h http.Handler) (status int, text string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Code, w.Body.String()
}

// Each value stands under its name and labels, with its type and help, and is
// read anew at each scrape.
func TestHandler(t *testing.T) {
	open := 3.0
	var retries CounterVec
	h := Handler(
		Gauge("requests_in_flight", "Requests that are open.", nil, Scalar(func() float64 { return open })),
		Counter("retries_total", "Retries.", []string{"route", "outcome"}, retries.Collect),
	)
	retries.Inc("a", "answered")
	retries.Inc("a", "answered")
	retries.Inc("b", "")
	status, text := scrape(h)
	for _, want := range []string{
		"# HELP curlewwalk_requests_in_flight Requests that are open.\n",
		"# TYPE curlewwalk_requests_in_flight gauge\n",
		"\ncurlewwalk_requests_in_flight 3\n",
		"# TYPE curlewwalk_retries_total counter\n",
		"\ncurlewwalk_retries_total{outcome=\"answered\",route=\"a\"} 2\n",
		"\ncurlewwalk_retries_total{outcome=\"\",route=\"b\"} 1\n",
		"\ngo_goroutines ",
		"\nprocess_open_fds ",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("lacks %q", want)
		}
	}
	if status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	open = 4
	if _, text = scrape(h); !strings.Contains(text, "\ncurlewwalk_requests_in_flight 4\n") {
		t.Error("an old value was kept")
	}
}

// A value with the wrong labels fails its scrape, not the process.
func TestWrongLabels(t *testing.T) {
	status, text := scrape(Handler(Gauge("wrong", "Wrong.", []string{"one"}, func(emit EmitFunc) { emit(1, "a", "b") })))
	if status != http.StatusInternalServerError || !strings.Contains(text, "curlewwalk_wrong") {
		t.Errorf("%d %s", status, text)
	}
}

// Counting from many goroutines loses nothing.
func TestCounterVecConcurrently(t *testing.T) {
	const workers, each = 8, 1000
	var vec CounterVec
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range each {
				vec.Inc("x")
			}
		})
	}
	wg.Wait()
	total := 0.0
	vec.Collect(func(value float64, _ ...string) { total += value })
	if total != workers*each {
		t.Errorf("counted %v, not %d", total, workers*each)
	}
}
