package server

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/birchdrift/birchdrift/core/admission"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/saturation"
	"github.com/birchdrift/birchdrift/internal/load"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

// bytesPerMegabit converts Mbit/s to bytes a second.
const bytesPerMegabit = 1e6 / 8

// A loadWatch watches the load of the process while callers connect or send, and limits the calls that
// begin to what the process can serve. It is safe for concurrent use.
type loadWatch struct {
	monitor *load.Monitor
	metrics *telemetry.Metrics
	log     logr.Logger
	start   time.Time
	report  func() // tells the machine that the process is saturated

	mu        sync.Mutex
	reported  clock.Instant // when report was last called
	detector  saturation.Detector
	admission admission.Controller
}

func newLoadWatch(monitor *load.Monitor, linkRate float64, metrics *telemetry.Metrics, log logr.Logger) *loadWatch {
	rate := linkRate * bytesPerMegabit
	return &loadWatch{
		monitor: monitor, metrics: metrics, log: log, start: time.Now(),
		detector:  saturation.Detector{LinkRate: rate},
		admission: admission.Controller{LinkRate: rate},
	}
}

// sample takes a sample of the load if one is due.
func (l *loadWatch) sample() {
	t := time.Now()
	if s, ok := l.monitor.Sample(t); ok {
		l.metrics.ObserveLoad(s)
		l.observe(t, s)
	}
}

// observe records a sample.
func (l *loadWatch) observe(t time.Time, s saturation.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant(t)
	changed := l.detector.Observe(now, s)
	l.admission.Observe(now, s, &l.detector)
	if l.detector.Cause() != saturation.None && now.Since(l.reported) >= saturation.ReportInterval {
		l.reported = now
		l.report()
	}
	if !changed {
		return
	}
	if l.detector.Holds() {
		l.log.Info(logevent.Saturated.Name(), "event", int(logevent.Saturated), "cause", l.detector.Cause().String(),
			"run_delay_ms", s.RunDelay.Milliseconds(), "link_use", l.detector.LinkUse())
	} else {
		l.log.Info(logevent.SaturationOver.Name(), "event", int(logevent.SaturationOver), "lasted_ms", l.detector.Since(now).Milliseconds())
	}
}

// instant converts a time to an instant of the process.
func (l *loadWatch) instant(t time.Time) clock.Instant {
	return clock.Instant{Mono: t.Sub(l.start), Wall: t.Round(0)}
}

// admits reports whether callers' connections are accepted, and for how long; 0: there is no limit.
func (l *loadWatch) admits() (span time.Duration, ok bool) {
	l.sample()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Admits(l.instant(time.Now()))
}

// reopens reports whether callers' connections are accepted again after they were refused.
func (l *loadWatch) reopens() bool {
	l.sample()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Reopens(l.instant(time.Now()))
}

// accepted records that a connection is accepted.
func (l *loadWatch) accepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Accept(l.instant(time.Now()))
}

// beginNext records that a further call begins on a connection, and reports whether its caller should
// connect to another instance for the next one.
func (l *loadWatch) beginNext() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.BeginNext(l.instant(time.Now()))
}

// countRequests counts the requests to a handler of callers, and samples the load. Callers whose calls
// begin beyond what the instance can serve are asked to close their connection after the answer.
func (s *Server) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.load.sample()
		s.metrics.CountRequest()
		conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if ok && !conn.firstRequest() && s.load.beginNext() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
