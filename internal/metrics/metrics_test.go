package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// scrape requests the metrics from a handler as Prometheus does.
func scrape(h http.Handler) (status int, text string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Code, w.Body.String()
}

// The handler serves each value with its metric's name, labels, type and help,
// and reads the value again at each scrape.
func TestHandlerServesCurrentValues(t *testing.T) {
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
			t.Errorf("scrape lacks %q", want)
		}
	}
	if status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	open = 4
	if _, text = scrape(h); !strings.Contains(text, "\ncurlewwalk_requests_in_flight 4\n") {
		t.Error("second scrape lacks the value 4, which was set after the first scrape")
	}
}

// A value with the wrong number of labels makes the scrape fail with status 500.
// It does not make the process panic.
func TestWrongLabelCountFailsScrape(t *testing.T) {
	status, text := scrape(Handler(Gauge("wrong", "Wrong.", []string{"one"}, func(emit EmitFunc) { emit(1, "a", "b") })))
	if status != http.StatusInternalServerError || !strings.Contains(text, "curlewwalk_wrong") {
		t.Errorf("got status %d, text %q, want status 500 and the metric's name", status, text)
	}
}

// Concurrent increments of one counter are all counted.
func TestCounterVecConcurrentIncrements(t *testing.T) {
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
		t.Errorf("counted %v increments, want %d", total, workers*each)
	}
}
