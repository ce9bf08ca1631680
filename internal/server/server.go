// Package server runs one entry instance as a process: it connects the upstream
// clients, the shell and the three listeners and shuts them down in order.
package server

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/internal/entry"
	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/load"
	"github.com/birchdrift/birchdrift/internal/ops"
	"github.com/birchdrift/birchdrift/internal/own"
	"github.com/birchdrift/birchdrift/internal/own/engine"
	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/internal/own/modelapi"
	"github.com/birchdrift/birchdrift/internal/peer"
	"github.com/birchdrift/birchdrift/internal/relay"
	"github.com/birchdrift/birchdrift/internal/service"
	"github.com/birchdrift/birchdrift/internal/settings"
	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/telemetry"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// maxHeaderBytes is the largest size of a request's headers, in bytes.
const maxHeaderBytes = 64 << 10

// shutdownTimeout is the time that listeners may take to close after the last call.
const shutdownTimeout = 5 * time.Second

// A Server is one entry instance.
type Server struct {
	set       settings.Settings
	opt       option.Options
	log       logr.Logger
	tracer    *telemetry.Tracer
	shell     *shell.Shell
	listeners []*listener
	level     *slog.LevelVar
	metrics   *telemetry.Metrics
	logs      *telemetry.LogWriter
	source    settings.Source
	file      []byte // content of the settings file when it was last read
	ctx       context.Context
	cancel    context.CancelFunc
	traffic   *load.Traffic
	load      *loadWatch
}

// A listener is one open listener with its HTTP server.
type listener struct {
	net  net.Listener
	http *http.Server
}

// An Environment connects an instance to the platform that it runs on.
type Environment struct {
	Join shell.EnvironmentFactory
	Wire forward.WireFormat // headers of forwarded calls
	// OwnCalls returns the handler of the product's own interface; nil if callers are
	// not offered it.
	OwnCalls func(h *entry.Handler, self member.Identity, maxBody int64) http.Handler
}

// An EnvironmentFactory returns the environment for the given settings.
type EnvironmentFactory func(set settings.Settings, t upstream.Transports) Environment

// OwnEnvironment is the EnvironmentFactory of the product's own environment.
func OwnEnvironment(set settings.Settings, t upstream.Transports) Environment {
	engines := engine.NewClient(t)
	wire := forward.OwnFormat
	wire.Unneeded = append(slices.Clone(wire.Unneeded), keyvalue.HeaderRevision)
	return Environment{
		Join: own.NewFactory(keyvalue.NewClient(set.Platform, t), engines),
		Wire: wire,
		OwnCalls: func(h *entry.Handler, self member.Identity, maxBody int64) http.Handler {
			api := &modelapi.Handler{
				Shell: h.Shell, Engine: engines, Service: h.Service, Metrics: h.Metrics, Tracer: h.Tracer,
				Self: self, MaxBody: maxBody, NextID: h.NextID,
			}
			return api.Routes()
		},
	}
}

// New opens the listeners and returns a server of an instance with the options opt in the
// environment that newEnvironment returns; Run starts it. Log lines are written to logs,
// trace spans to spans.
func New(set settings.Settings, opt option.Options, newEnvironment EnvironmentFactory, logs, spans io.Writer) (*Server, error) {
	level := new(slog.LevelVar)
	level.Set(set.LogLevel)
	metrics := telemetry.NewMetrics()
	writer := telemetry.NewLogWriter(logs, metrics.CountDroppedLines)
	logger := telemetry.NewLogger(writer, level, set.Name, set.Zone)
	log.SetFlags(0)
	log.SetOutput(libraryLog{logger, metrics})
	tracer, err := telemetry.NewTracer(spans, set.Name, set.Zone, set.TraceShare)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{set: set, opt: opt, log: logger, tracer: tracer, level: level, metrics: metrics, logs: writer, traffic: &load.Traffic{}}
	s.load = newLoadWatch(load.NewMonitor(s.traffic), set.LinkRate, metrics, logger)
	limitMemory(set.MemoryLimit)
	if err := s.bind(); err != nil {
		return nil, err
	}
	s.wire(newEnvironment)
	if err := set.CheckLeaveBound(); err != nil {
		logger.Info(logevent.BoundTooShort.Name(), "event", int(logevent.BoundTooShort), "error", err.Error())
	}
	return s, nil
}

func (s *Server) bind() error {
	for _, l := range []struct{ name, address string }{
		{"callers", s.set.Callers}, {"peers", s.set.Peers}, {"operations", s.set.Operations},
	} {
		bound, err := listen(l.address)
		if err != nil {
			for _, open := range s.listeners {
				_ = open.net.Close() // the process is about to end
			}
			return trace.Wrap(err, "listening for %s", l.name)
		}
		open := s.traffic.Listener(bound)
		if len(s.listeners) == 0 {
			open = s.newCallerListener(bound)
		}
		s.listeners = append(s.listeners, &listener{net: open})
	}
	if s.set.Advertise == "" {
		s.set.Advertise = s.listeners[1].net.Addr().String()
	}
	return nil
}

func (s *Server) wire(newEnvironment EnvironmentFactory) {
	metrics := s.metrics
	transports := upstream.NewCountedTransports(s.traffic)
	unread := upstream.NewUnreadHeaderDetector(s.unreadHeader, metrics.CountUnreadHeader)
	environment := newEnvironment(s.set, unread.Wrap(transports))
	unread.AddKnown(environment.Wire.AnswerHeaders())
	unread.AddKnown(relay.AnswerHeaders)
	self := member.Identity{
		Name: s.set.Name, Zone: s.set.Zone, Address: s.set.Advertise,
		Boot: uint64(time.Now().UnixNano()), Seeds: s.set.Seeds, Processor: s.set.Processor,
	}
	peers := peer.NewClient(&http.Client{Transport: transports.Reused}, s.set.PeerKey)
	ctx, cancel := context.WithCancel(context.Background())
	s.ctx = ctx
	s.cancel = cancel
	s.shell = shell.New(ctx, self, instance.New(self, s.opt, self.Boot), environment.Join, peers, s.log, metrics)
	s.load.report = s.shell.ReportSaturation
	callers := &entry.Handler{
		Shell: s.shell, Service: service.NewClient(unread.Wrap(transports), s.set.MaxAnswer), Metrics: metrics, Tracer: s.tracer, Wire: environment.Wire,
		Silence: s.set.HeaderTime, Name: self.Name, Peers: peers,
	}
	if environment.OwnCalls != nil {
		callers.Own = environment.OwnCalls(callers, self, s.set.MaxBody)
	}
	peerServer := peer.Server{
		Take: s.shell.HandleExchange, TakeOrder: s.shell.HandleOrderRequest, TakePermit: s.shell.HandlePermitRequest,
		TakeStreams: s.shell.HandleStreamsRequest,
	}
	relays := &relay.Handler{Shell: s.shell, Service: callers.Service, Wire: environment.Wire, Silence: s.set.HeaderTime, Next: peerServer.Routes()}
	handlers := []http.Handler{
		s.countRequests(callers.Routes()),
		peer.RequireKey(s.set.PeerKey, relays.Routes()),
		ops.Handler{Shell: s.shell, Metrics: metrics, Key: s.set.OpsKey}.Routes(),
	}
	for i, l := range s.listeners {
		l.http = &http.Server{
			Handler:           handlers[i],
			ReadHeaderTimeout: s.set.HeaderTime,
			IdleTimeout:       s.set.IdleTime,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnContext:       withCallerConn,
			ErrorLog:          log.New(os.Stderr, "", log.LstdFlags), // whole, with the stacks of panics
		}
	}
}

// unreadHeader logs the name of an answer header that the instance does not read.
func (s *Server) unreadHeader(name string) {
	s.log.Info(logevent.HeaderUnread.Name(), "event", int(logevent.HeaderUnread), "name", name)
}

// Addresses returns the addresses of the callers', peers' and operations listeners.
func (s *Server) Addresses() (callers, peers, operations string) {
	return s.listeners[0].net.Addr().String(), s.listeners[1].net.Addr().String(), s.listeners[2].net.Addr().String()
}

// Run serves until a planned stop is complete. SIGTERM or SIGINT begins the stop and a
// second one ends it at once. It returns the number of calls that were cut off.
func (s *Server) Run() (int, error) {
	var group errgroup.Group
	group.Go(s.shell.Run)
	group.Go(s.watchSettings)
	callers, peers, operations := s.Addresses()
	s.log.Info("listening", "event", int(logevent.Listening), "callers", callers, "peers", peers, "operations", operations,
		"silence_limit", bounds.AcceptedTimeouts.IdleGiveUp().String())
	for _, l := range s.listeners {
		group.Go(func() error {
			if err := l.http.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
				return trace.Wrap(err)
			}
			return nil
		})
	}
	exit := s.awaitExit()
	s.close()
	err := group.Wait()
	s.logs.Close()
	return exit.Cut, err
}

func (s *Server) awaitExit() shutdown.Exit {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			s.shell.Stop()
		case exit := <-s.shell.Exited():
			return exit
		}
	}
}

// close shuts the listeners down. Handlers whose calls were cut off still have to write
// their final answers, so connections get up to shutdownTimeout.
func (s *Server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, l := range s.listeners {
		if err := l.http.Shutdown(ctx); err != nil {
			_ = l.http.Close() // the remaining connections used up their time
		}
	}
	s.cancel()
	_ = s.tracer.Stop(ctx) // spans that cannot be written are lost
}
