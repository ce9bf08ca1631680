package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/saturation"
	"github.com/birchdrift/birchdrift/internal/load"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

// Guards against callers that keep their connections to an instance that gets more calls than it can
// serve, and against connections that are closed although it can serve their calls.
func TestCallersBeyondTheLimitAreAskedToConnectAnew(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	const linkRate = 0.08 // Mbit/s
	w := newLoadWatch(load.NewMonitor(&load.Traffic{}), linkRate, metrics, logr.Discard())
	w.report, w.start = func() {}, time.Now().Add(-time.Minute)
	s := &Server{load: w, metrics: metrics}
	conn := &callerConn{}
	handler := s.countRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	closes := func() bool {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r.WithContext(context.WithValue(r.Context(), callerConnKey{}, conn)))
		return answer.Header().Get("Connection") == "close"
	}
	is.True(!closes()) // the first request on its connection
	is.True(!closes())
	const calls, callBytes = 100, 10 << 10
	for range calls {
		w.accepted()
	}
	w.admission.Observe(w.instant(time.Now()), saturation.Sample{Span: time.Second, Received: calls * callBytes}, &w.detector)
	is.True(!closes()) // within the limit
	for range calls {
		w.accepted()
	}
	is.True(closes())
	conn = &callerConn{}
	is.True(!closes()) // it was counted when its connection was accepted
}

// Guards against an instance that is saturated and whose modules do not know it.
func TestSaturationIsReported(t *testing.T) {
	is := is.New(t)
	w := newLoadWatch(load.NewMonitor(&load.Traffic{}), 0, telemetry.NewMetrics(), logr.Discard())
	reports := 0
	w.report = func() { reports++ }
	at := w.start.Add(time.Minute)
	observe := func(runDelay, span time.Duration) {
		const interval = 20 * time.Millisecond
		for end := at.Add(span); at.Before(end); at = at.Add(interval) {
			w.observe(at, saturation.Sample{RunDelay: runDelay, Span: interval})
		}
	}
	observe(saturation.MaxRunDelay, time.Second)
	is.Equal(reports, 0)
	observe(2*saturation.MaxRunDelay, saturation.MinBacklog+10*saturation.ReportInterval)
	is.True(reports >= 9)
	is.True(reports <= 11)
	before := reports
	observe(0, time.Second)
	is.Equal(reports, before)
}
