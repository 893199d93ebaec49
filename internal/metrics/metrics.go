// Package metrics serves a process's counters and gauges in the Prometheus text
// format. A metric is read when it is scraped, from the counters that the parts
// keep anyway: between scrapes it costs nothing. (DESIGN 12)
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of all names of the project's own.
const namespace = "curlewwalk"

// EmitFunc reports one value of a metric, with the values of its labels in the
// order in which the metric names them.
type EmitFunc func(value float64, labels ...string)

// ReadFunc reports the present values of a metric. The library calls it on
// goroutines of its own, of several scrapes at a time: it must be safe for
// concurrent use and may not block for long.
type ReadFunc func(emit EmitFunc)

// Metric is one metric family. It implements prometheus.Collector.
type Metric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read ReadFunc
}

// Counter is a metric that only grows while the process lives. Its name is
// given without the prefix and ends in _total.
func Counter(name, help string, labels []string, read ReadFunc) *Metric {
	return newMetric(prometheus.CounterValue, name, help, labels, read)
}

// Gauge is a metric that goes up and down. Its name is given without the prefix.
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
// labels is reported to the scraper as an error.
func (m *Metric) Collect(out chan<- prometheus.Metric) {
	m.read(func(value float64, labels ...string) {
		sample, err := prometheus.NewConstMetric(m.desc, m.kind, value, labels...)
		if err != nil {
			sample = prometheus.NewInvalidMetric(m.desc, err)
		}
		out <- sample
	})
}

// Handler serves the metrics, and those of the Go runtime and of the process.
// It panics if two metrics have one name.
func Handler(all ...*Metric) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, m := range all {
		registry.MustRegister(m)
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Scalar is a reading of a metric without labels.
func Scalar(read func() float64) ReadFunc {
	return func(emit EmitFunc) { emit(read()) }
}

// Bool is 1 for true and 0 for false.
func Bool(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
