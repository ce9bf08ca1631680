// Package telemetry provides an instance's metrics, traces with a span for each hop,
// and structured logs of numbered events.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/own/planner"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/saturation"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/streams"
)

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	set            *metrics.Set
	platformCalls  *metrics.Counter
	queueTime      *metrics.Histogram
	firstToken     *metrics.Histogram
	betweenTokens  *metrics.Histogram
	callTime       *metrics.Histogram
	retries        *metrics.Counter
	resumes        *metrics.Counter
	policyFailures *metrics.Counter
	logDropped     *metrics.Counter
	unreadHeaders  *metrics.Counter
	listAge        *metrics.Histogram
	relayed        *metrics.Counter
	runDelay       *metrics.Histogram
	linkReceived   *metrics.Counter
	linkSent       *metrics.Counter
	accepted       *metrics.Counter
	closed         *metrics.Counter
	requests       *metrics.Counter
	refusalTime    *metrics.FloatCounter // seconds
}

// NewMetrics returns metrics without any observations.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:            set,
		platformCalls:  set.NewCounter("birchdrift_platform_calls_total"),
		queueTime:      set.NewHistogram("birchdrift_queue_seconds"),
		firstToken:     set.NewHistogram("birchdrift_first_token_seconds"),
		betweenTokens:  set.NewHistogram("birchdrift_between_tokens_seconds"),
		callTime:       set.NewHistogram("birchdrift_call_seconds"),
		retries:        set.NewCounter("birchdrift_retries_total"),
		resumes:        set.NewCounter("birchdrift_resumes_total"),
		policyFailures: set.NewCounter("birchdrift_policy_failures_total"),
		logDropped:     set.NewCounter("birchdrift_log_lines_dropped_total"),
		unreadHeaders:  set.NewCounter("birchdrift_unread_headers_total"),
		listAge:        set.NewHistogram("birchdrift_list_age_seconds"),
		relayed:        set.NewCounter("birchdrift_relayed_attempts_total"),
		runDelay:       set.NewHistogram("birchdrift_run_delay_seconds"),
		linkReceived:   set.NewCounter(`birchdrift_link_bytes_total{direction="received"}`),
		linkSent:       set.NewCounter(`birchdrift_link_bytes_total{direction="sent"}`),
		accepted:       set.NewCounter(`birchdrift_caller_connections_total{outcome="accepted"}`),
		closed:         set.NewCounter(`birchdrift_caller_connections_total{outcome="closed"}`),
		requests:       set.NewCounter("birchdrift_caller_requests_total"),
		refusalTime:    set.NewFloatCounter("birchdrift_caller_refusal_seconds_total"),
	}
}

// A MetricDoc documents one metric in docs/metrics.md.
type MetricDoc struct{ Name, Meaning, Action string }

// MetricDocs documents the metrics and what operators should do about them.
var MetricDocs = []MetricDoc{
	{"birchdrift_queue_seconds", "Time that a call waited in this instance before it was sent.", "Rising: the zone lacks sequences; see `birchctl status`."},
	{"birchdrift_first_token_seconds", "Time from a call's arrival to the first piece of its answer.", "Above the target for more than 5 in 100: add accelerators or change policies."},
	{"birchdrift_between_tokens_seconds", "Time between two pieces of one stream.", "Above the target: engines run too many sequences at once."},
	{"birchdrift_call_seconds", "Time from a call's arrival to its end.", "None by itself."},
	{"birchdrift_answers_total{code}", "Final answers by numbered code; 0 is success.", "Look the code up in docs/codes.md."},
	{"birchdrift_retries_total", "Retries of calls at another replica.", "More than a few in 100 calls: an upstream is failing."},
	{"birchdrift_retries_charged_total{service,part}", "Retries that were charged to the retry budget of a service, by whose part of the budget: the instance's own, or that of another one, which lent it.", "Compare the sum over all instances with the budget; event 1815 has the single retries."},
	{"birchdrift_retries_left{service}", "Retries that the instance had left of its own when it last made one.", "None by itself."},
	{"birchdrift_retries_denied_total{service}", "Calls that were not retried because the retry budget of their service was used up.", "Rising: replicas of the service fail or reject calls."},
	{"birchdrift_resumes_total", "Streams that were resumed at their offset.", "Rising: connections to upstreams break."},
	{"birchdrift_policy_failures_total", "Calls for which a policy expression failed.", "Correct the policy; event 1701 names it."},
	{"birchdrift_platform_calls_total", "Calls made to the platform's key-value service.", "Compare with its rates."},
	{"birchdrift_orders_total{op}", "Orders sent to engines.", "Loads and unloads change which models are resident."},
	{"birchdrift_log_lines_dropped_total", "Log lines dropped because they exceeded the rate limit of the log.", "Rising: set `--log-level` to warn, or find out what fails so often."},
	{"birchdrift_unread_headers_total", "Answers of replicas and of the platform's store with a header that the instance does not read.", "Look for event 1507, which names it: the platform may have a new header."},
	{"birchdrift_relayed_attempts_total", "Attempts of calls that this instance sent through another one, because it cannot connect to the replica.", "Rising: this instance has lost links, see event 1509."},
	{"birchdrift_unreachable_replicas{service}", "Replicas of a service that this instance could not connect to when it last tried.", "If it is not 0 at a few instances only, check their network; at all, check the replicas. See event 1509."},
	{"birchdrift_list_age_seconds", "Age of this instance's copy of the platform's list when a call was sent according to it.", "Near `--leave-bound`: leaving replicas may get calls. See event 1319."},
	{"birchdrift_streams_taken_up_total{service,known}", "Streams that their callers took up with another request, by from where it is known which version of the replicas' software began them: `here`, `peer`, `only_one` or `no`; the last are not continued.", "`no` rising: look for instances that ended or were cut off, see event 1817."},
	{"birchdrift_run_delay_seconds", "Time that work of the process which could go on waited for the processor, sampled while callers connect or send.", "Above 0.01: the processor is saturated, see event 1010."},
	{"birchdrift_link_bytes_total{direction}", "Bytes of the process's connections as they take up the network link.", "Near `--link-rate`: the link is saturated, see event 1010."},
	{"birchdrift_caller_connections_total{outcome}", "Connections of callers that were `accepted`, or `closed` before anything was read of them.", "`accepted` at one instance far above the others: check the load balancer. `closed`: see events 1009 and 1010."},
	{"birchdrift_caller_refusal_seconds_total", "Time for which the instance refused new connections of callers, because it could not serve more calls.", "Rising at one instance: check that the load balancer spreads connections. Rising at all: add instances."},
	{"birchdrift_caller_requests_total", "Requests of callers whose headers were read.", "None by itself."},
	{"birchdrift_notes_total{event}", "Log events by number.", "Look the number up in docs/events.md."},
}

// CountPlatformCall counts a call to the platform.
func (m *Metrics) CountPlatformCall() { m.platformCalls.Inc() }

// CountDroppedLines counts log lines that were dropped.
func (m *Metrics) CountDroppedLines(lines int) { m.logDropped.Add(lines) }

// CountUnreadHeader counts an answer with a header that the instance does not read.
func (m *Metrics) CountUnreadHeader() { m.unreadHeaders.Inc() }

// ObserveQueueTime records how long a call waited in this instance.
func (m *Metrics) ObserveQueueTime(d time.Duration) { m.queueTime.Update(d.Seconds()) }

// ObserveFirstToken records the time from a call's arrival to the first piece of its answer.
func (m *Metrics) ObserveFirstToken(d time.Duration) { m.firstToken.Update(d.Seconds()) }

// ObserveTokenGap records the time between two pieces of an answer.
func (m *Metrics) ObserveTokenGap(d time.Duration) { m.betweenTokens.Update(d.Seconds()) }

// ObserveAnswer records the end of a call with its numbered code and its duration.
func (m *Metrics) ObserveAnswer(code int, d time.Duration) {
	m.callTime.Update(d.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(`birchdrift_answers_total{code="%d"}`, code)).Inc()
}

// ObserveLoad records a sample of the load of the process.
func (m *Metrics) ObserveLoad(s saturation.Sample) {
	m.runDelay.Update(s.RunDelay.Seconds())
	m.linkReceived.AddInt64(s.Received)
	m.linkSent.AddInt64(s.Sent)
}

// CountConnection counts a caller's connection that was accepted, or closed unread.
func (m *Metrics) CountConnection(accepted bool) {
	if accepted {
		m.accepted.Inc()
	} else {
		m.closed.Inc()
	}
}

// AddRefusalTime adds to the time for which new connections of callers were refused.
func (m *Metrics) AddRefusalTime(span time.Duration) { m.refusalTime.Add(span.Seconds()) }

// CountRequest counts a request of a caller.
func (m *Metrics) CountRequest() { m.requests.Inc() }

// CountAction updates the metrics that depend on the state machine's actions.
func (m *Metrics) CountAction(a step.Action) {
	switch act := a.(type) {
	case calls.Dispatch:
		if act.Forward != nil {
			m.listAge.Update(act.Forward.ListAge.Seconds())
		}
		if act.Relay != nil {
			m.relayed.Inc()
		}
	case planner.SendOrder:
		m.set.GetOrCreateCounter(fmt.Sprintf(`birchdrift_orders_total{op="%s"}`, act.Order.Op)).Inc()
	case retrybudget.Charged:
		m.set.GetOrCreateCounter(fmt.Sprintf(`birchdrift_retries_charged_total{service=%q,part=%q}`, act.Service, act.Part)).Inc()
		m.set.GetOrCreateGauge(fmt.Sprintf(`birchdrift_retries_left{service=%q}`, act.Service), nil).Set(act.Left)
	case retrybudget.Denied:
		m.set.GetOrCreateCounter(fmt.Sprintf(`birchdrift_retries_denied_total{service=%q}`, act.Service)).Inc()
	case links.Changed:
		m.set.GetOrCreateGauge(fmt.Sprintf(`birchdrift_unreachable_replicas{service=%q}`, act.Service), nil).Set(float64(act.Unreachable))
	case streams.TakenUp:
		m.set.GetOrCreateCounter(fmt.Sprintf(`birchdrift_streams_taken_up_total{service=%q,known=%q}`, act.Service, act.Known)).Inc()
	case step.Log:
		m.CountEvent(act.Event)
	}
}

// CountEvent counts a log event.
func (m *Metrics) CountEvent(n logevent.Number) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`birchdrift_notes_total{event="%d"}`, n)).Inc()
	switch n {
	case logevent.CallRetried:
		m.retries.Inc()
	case logevent.CallResumed:
		m.resumes.Inc()
	case logevent.PolicyFailed:
		m.policyFailures.Inc()
	}
}

// Write writes all metrics, including those of the process, in Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
