package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportEvery = time.Second

// Meter is a node's metrics.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New makes metrics of their own, apart from any other node's in the process.
func New() *Meter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  func(err error) { panic(merry.Prepend(err, "register metric")) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lacewingdrift",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportEvery)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Handler serves the metrics as text.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports what is left.
func (m *Meter) Close() error { return m.closer.Close() }

// Request counts a finished request by pipeline and outcome.
func (m *Meter) Request(pipeline, outcome, reason string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"pipeline": pipeline, "outcome": outcome, "reason": reason})
	s.Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"pipeline": pipeline}).Timer("request_time").Record(took)
}

// Attempt counts an attempt that reached a target, and what it cost there.
func (m *Meter) Attempt(stage string, cost time.Duration, whole bool) {
	result := "whole"
	if !whole {
		result = "broken"
	}
	s := m.scope.Tagged(map[string]string{"stage": stage, "result": result})
	s.Counter("attempts").Inc(1)
	s.Counter("attempt_milliseconds").Inc(cost.Milliseconds())
}

// Gauge sets a value.
func (m *Meter) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// Count adds to a counter.
func (m *Meter) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }
