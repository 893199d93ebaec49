// Package metrics serves a process's counters and gauges in the Prometheus text
// format. A metric is read only when it is scraped, from counters that the
// process maintains in any case, so metrics cost nothing between scrapes.
// (DESIGN 12)
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of the names of the project's own metrics.
const namespace = "curlewwalk"

// EmitFunc reports one value of a metric. The label values are in the order of
// the metric's label names.
type EmitFunc func(value float64, labels ...string)

// ReadFunc reports the current values of a metric. The Prometheus library calls
// it on its own goroutines, and concurrently for concurrent scrapes, so it must
// be safe for concurrent use and must not block for long.
type ReadFunc func(emit EmitFunc)

// Metric is one metric family. It implements prometheus.Collector.
type Metric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read ReadFunc
}

// Counter returns a metric that only increases during the life of the process.
// The name is given without the namespace and ends in _total.
func Counter(name, help string, labels []string, read ReadFunc) *Metric {
	return newMetric(prometheus.CounterValue, name, help, labels, read)
}

// Gauge returns a metric that can increase and decrease. The name is given
// without the namespace.
func Gauge(name, help string, labels []string, read ReadFunc) *Metric {
	return newMetric(prometheus.GaugeValue, name, help, labels, read)
}

func newMetric(kind prometheus.ValueType, name, help string, labels []string, read ReadFunc) *Metric {
	return &Metric{
		desc: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil),
		kind: kind,
		read: read,
	}
}

// Describe implements prometheus.Collector.
func (m *Metric) Describe(out chan<- *prometheus.Desc) { out <- m.desc }

// Collect implements prometheus.Collector. A value with the wrong number of
// labels makes the scrape fail with an error.
func (m *Metric) Collect(out chan<- prometheus.Metric) {
	m.read(func(value float64, labels ...string) {
		sample, err := prometheus.NewConstMetric(m.desc, m.kind, value, labels...)
		if err != nil {
			sample = prometheus.NewInvalidMetric(m.desc, err)
		}
		out <- sample
	})
}

// Handler returns a handler that serves the given metrics, and the Prometheus
// library's metrics of the Go runtime and of the process. It panics if two
// metrics have the same name.
func Handler(all ...*Metric) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, m := range all {
		registry.MustRegister(m)
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Scalar returns a ReadFunc for a metric without labels, with a single value.
func Scalar(read func() float64) ReadFunc {
	return func(emit EmitFunc) { emit(read()) }
}

// Bool returns 1 for true and 0 for false.
func Bool(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
