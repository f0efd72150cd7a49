package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Meter holds a node's metrics.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter that is independent of any other node's in the same process.
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
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Handler returns an HTTP handler that serves the metrics as text.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the remaining values and stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// RecordRequest counts a finished request by pipeline and outcome, and records its duration.
func (m *Meter) RecordRequest(pipeline, outcome, reason string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"pipeline": pipeline, "outcome": outcome, "reason": reason})
	s.Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"pipeline": pipeline}).Timer("request_time").Record(took)
}

// RecordAttempt counts an attempt that reached a target, and its cost there.
func (m *Meter) RecordAttempt(stage string, cost time.Duration, isComplete bool) {
	result := "whole"
	if !isComplete {
		result = "broken"
	}
	s := m.scope.Tagged(map[string]string{"stage": stage, "result": result})
	s.Counter("attempts").Inc(1)
	s.Counter("attempt_milliseconds").Inc(cost.Milliseconds())
}

// RecordSend counts an attempt to run a request at a target of a service by its result, and records its duration.
func (m *Meter) RecordSend(service, result string, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": service, "result": result}).Counter("sends").Inc(1)
	m.scope.Tagged(map[string]string{"service": service}).Timer("send_time").Record(took)
}

// CountResponse counts a response of a target of a service by how its body was framed and whether it was read to its
// end.
func (m *Meter) CountResponse(service, framing string, isComplete bool) {
	end := "whole"
	if !isComplete {
		end = "broken"
	}
	m.scope.Tagged(map[string]string{"service": service, "framing": framing, "end": end}).Counter("responses").Inc(1)
}

// CountHeldEvent counts an event of a target of a service that was held back from its caller, by the reason.
func (m *Meter) CountHeldEvent(service, reason string) {
	m.scope.Tagged(map[string]string{"service": service, "reason": reason}).Counter("held_events").Inc(1)
}

// CountCrash counts a crash of a target of a service under a request, by how far its response had come.
func (m *Meter) CountCrash(service, progress string) {
	m.scope.Tagged(map[string]string{"service": service, "progress": progress}).Counter("target_crashes").Inc(1)
}

// CountNotice counts what a target of a service says of itself in a response.
func (m *Meter) CountNotice(service, notice string) {
	m.scope.Tagged(map[string]string{"service": service, "notice": notice}).Counter("target_notices").Inc(1)
}

// CountPermit counts a claim for the limited targets of a service by what became of it.
func (m *Meter) CountPermit(service, result string) {
	m.scope.Tagged(map[string]string{"service": service, "result": result}).Counter("permits").Inc(1)
}

// CountLimitedSend counts a request that is sent to a target of a service with a limit.
func (m *Meter) CountLimitedSend(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("limited_sends").Inc(1)
}

// RecordStageCall counts a batch call to a stage target, its pieces, and the most pieces that it could have held.
func (m *Meter) RecordStageCall(service, result string, pieces, capacity int, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": service, "result": result}).Counter("stage_calls").Inc(1)
	s := m.scope.Tagged(map[string]string{"service": service})
	s.Counter("stage_pieces").Inc(int64(pieces))
	s.Counter("stage_places").Inc(int64(capacity))
	s.Timer("stage_call_time").Record(took)
}

// RecordRejectedGroup counts a group of pieces that a dispatcher did not start.
func (m *Meter) RecordRejectedGroup(service, reason string) {
	m.scope.Tagged(map[string]string{"service": service, "why": reason}).Counter("stage_turned").Inc(1)
}

// SetQueuedPieces sets the number of pieces that wait for the targets of a service.
func (m *Meter) SetQueuedPieces(service string, pieces int) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge("stage_waiting").Update(float64(pieces))
}

// SetWorkTimes sets the least and the greatest factor by which the stage targets of a service take longer than its batch profile says.
func (m *Meter) SetWorkTimes(service string, least, greatest float64) {
	s := m.scope.Tagged(map[string]string{"service": service})
	s.Gauge("stage_work_time_least").Update(least)
	s.Gauge("stage_work_time_greatest").Update(greatest)
}

// CountIntake counts an action against clients that hold too much, at one of the node's ports.
func (m *Meter) CountIntake(port, action string) {
	m.scope.Tagged(map[string]string{"port": port, "action": action}).Counter("intake").Inc(1)
}

// CountStoreChange counts each time that the store becomes unavailable or available again for a kind of object.
func (m *Meter) CountStoreChange(kind, change string) {
	m.scope.Tagged(map[string]string{"kind": kind, "change": change}).Counter("store_changes").Inc(1)
}

// CountStoreCall counts a call of the store by its operation, the kind of object and its result, and by its purpose.
func (m *Meter) CountStoreCall(operation, kind, result, purpose string) {
	m.scope.Tagged(map[string]string{"purpose": purpose}).Counter("store_call_purposes").Inc(1)
	m.scope.Tagged(map[string]string{"operation": operation, "kind": kind, "result": result}).Counter("store_calls").Inc(1)
}

// Gauge sets a gauge to a value.
func (m *Meter) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// AddCount adds to a counter.
func (m *Meter) AddCount(name string, n int64) { m.scope.Counter(name).Inc(n) }

// SetRollout sets how far the rollout of a service is at this node, and what the fleet has counted as far as the node knows.
func (m *Meter) SetRollout(service, step string, requests, sent int) {
	s := m.scope.Tagged(map[string]string{"service": service})
	s.Gauge("rollout_requests").Update(float64(requests))
	s.Gauge("rollout_sent").Update(float64(sent))
	for _, name := range []string{"canary", "paused", "shifted", "withdrawn", "done"} {
		value := 0.0
		if name == step {
			value = 1
		}
		m.scope.Tagged(map[string]string{"service": service, "step": name}).Gauge("rollout_step").Update(value)
	}
}

// CountRolloutWrite counts a write of the state of a service's rollout by its result.
func (m *Meter) CountRolloutWrite(service, state, result string) {
	m.scope.Tagged(map[string]string{"service": service, "state": state, "result": result}).Counter("rollout_writes").Inc(1)
}
