// Package integration tests the real program, run as separate processes, against
// the stand-ins.
package integration

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/internal/control"
	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/fleet"
	"github.com/birchdrift/birchdrift/standin/platform"
	"github.com/birchdrift/birchdrift/standin/service"
)

// bin is the directory of the programs, which are built once.
var bin string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "birchdrift-test")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		root, err := fleet.Root()
		if err != nil {
			panic(err)
		}
		if err := fleet.Build(root, dir); err != nil {
			panic(err)
		}
		bin = dir
		return m.Run()
	}())
}

// A testbed holds the stand-ins, which run in this process, and the instances, which run
// as separate processes.
type testbed struct {
	t         *testing.T
	platform  *platform.Platform
	address   string // of the platform
	engines   map[string]*engine.Engine
	services  map[string]*service.Service
	servers   map[string]*httptest.Server
	instances map[string]*fleet.Instance
	doc       config.Document
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	w := &testbed{
		t: t, platform: platform.New(platform.DefaultLimits()),
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{},
		servers: map[string]*httptest.Server{}, instances: map[string]*fleet.Instance{},
	}
	w.usePlatform(w.platform)
	w.doc.Residency = config.Residency{MinimumStay: config.DefaultMinimumStay}
	t.Cleanup(func() { // runs before the platform's cleanup, which was registered first
		for _, in := range w.instances {
			in.Kill()
		}
		for _, e := range w.engines {
			e.Close()
		}
		for _, s := range w.servers {
			s.CloseClientConnections()
			s.Close()
		}
	})
	return w
}

// usePlatform replaces the testbed's platform by p.
func (w *testbed) usePlatform(p *platform.Platform) {
	w.platform = p
	server := httptest.NewServer(p.Handler())
	w.address = server.Listener.Addr().String()
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
}

// watchWait is the time limit of a watch at the platform.
const watchWait = fleet.AwaitTimeout

// addZones adds availability zones.
func (w *testbed) addZones(names ...string) {
	for _, name := range names {
		w.doc.Zones = append(w.doc.Zones, config.Zone{Name: name})
	}
}

// addEngine adds an engine; change may alter its options.
func (w *testbed) addEngine(name, zone string, change func(*engine.Options)) *engine.Engine {
	opt := engine.DefaultOptions(name)
	opt.TokenTime = 0
	opt.MiBPerSecond = 0
	if change != nil {
		change(&opt)
	}
	e := engine.New(opt)
	w.engines[name] = e
	w.servers[name] = httptest.NewServer(e.Handler())
	w.doc.Engines = append(w.doc.Engines, config.Engine{
		Name: name, Address: w.servers[name].Listener.Addr().String(), Zone: zone,
		Accelerators: 1, MemoryMiB: opt.MemoryMiB, Sequences: opt.Sequences, ChecksFence: opt.ChecksFence,
	})
	return e
}

// addModel adds a model with its own service, named "svc-" and the model's name.
func (w *testbed) addModel(name string, mib int64) {
	w.doc.Models = append(w.doc.Models, config.Model{Name: name, MemoryMiB: mib, PrefillPerSecond: 100000, LoadTime: 100_000_000})
	w.doc.Services = append(w.doc.Services, config.Service{
		Name: "svc-" + name, Versions: []config.Version{{Name: "v1", Model: name, Share: 1}},
	})
}

// addReplica adds a replica to a plain service.
func (w *testbed) addReplica(svc, name, zone string) *service.Service {
	s := service.New(name)
	w.services[name] = s
	w.servers[name] = httptest.NewServer(s.Handler())
	r := config.Replica{Name: name, Address: w.servers[name].Listener.Addr().String(), Zone: zone}
	for i := range w.doc.Services {
		if w.doc.Services[i].Name == svc {
			w.doc.Services[i].Replicas = append(w.doc.Services[i].Replicas, r)
			return s
		}
	}
	w.doc.Services = append(w.doc.Services, config.Service{
		Name: svc, Replicas: []config.Replica{r}, Routes: []config.Route{{Prefix: "/once", NotRepeatable: true}},
	})
	return s
}

// fastSettings are flags with shorter intervals and timeouts than the defaults, so that
// tests take less time.
var fastSettings = []string{"--lease-term", "2s", "--exchange-every", "200ms", "--read-every", "100ms", "--stall", "3s", "--stop-delay", "200ms"}

// startInstance starts an entry instance and adds it to the platform's list.
func (w *testbed) startInstance(name, zone string, extra ...string) *fleet.Instance {
	w.t.Helper()
	in, err := fleet.StartInstance(bin, fleet.InstanceSpec{Name: name, Zone: zone, Platform: w.address, Extra: append(append([]string(nil), fastSettings...), extra...)})
	if err != nil {
		w.t.Fatal(err)
	}
	w.instances[name] = in
	w.platform.SetInstance(keyvalue.Instance{Name: name, Kind: keyvalue.KindEntry, Zone: zone, Address: in.Peers, State: keyvalue.StateLive})
	w.t.Cleanup(func() {
		if w.t.Failed() {
			w.t.Logf("%s:\n%s", name, in.Log())
		}
	})
	return in
}

func transports() upstream.Transports { return upstream.NewTransports() }

func (w *testbed) client() *keyvalue.Client { return keyvalue.NewClient(w.address, transports()) }

// apply applies the document and waits until every instance has its revision.
func (w *testbed) apply() uint64 {
	w.t.Helper()
	revision, err := control.Apply(context.Background(), w.client(), w.doc)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, in := range w.instances {
		w.await(in.Name+" has the revision", func() bool {
			st, err := in.Status()
			return err == nil && st.Revision >= revision
		})
	}
	return revision
}

func (w *testbed) await(what string, holds func() bool) {
	w.t.Helper()
	if err := fleet.Await(what, holds); err != nil {
		w.t.Fatal(err)
	}
}

// awaitReadyOn waits until an item is ready on an engine.
func (w *testbed) awaitReadyOn(engineName, item string) {
	w.t.Helper()
	w.await(item+" is ready on "+engineName, func() bool { return w.engines[engineName].ItemPhase(item) == "ready" })
}

// awaitSeenBy waits until an instance knows that an item is ready on an engine.
func (w *testbed) awaitSeenBy(in *fleet.Instance, engineName, item string) {
	w.t.Helper()
	w.await(in.Name+" sees "+item, func() bool {
		st, err := in.Status()
		if err != nil {
			return false
		}
		for _, u := range st.Upstreams {
			if u.Name == engineName && u.Items[item] == "ready" {
				return true
			}
		}
		return false
	})
}

// chat sends a completion request to a model service.
func chat(in *fleet.Instance, model, prompt string, tokens int, stream bool) (fleet.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%v}`, model, prompt, tokens, stream)
	return in.Post("/v1/completions", body, nil)
}

// wantText returns the text with which the stand-in engine answers a prompt.
func wantText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.PieceText(prompt, i))
	}
	return b.String()
}

// runBirchctl runs birchctl and returns its exit status and output.
func (w *testbed) runBirchctl(args ...string) (int, string) {
	w.t.Helper()
	p, err := fleet.Start("birchctl", filepath.Join(bin, "birchctl"), args...)
	if err != nil {
		w.t.Fatal(err)
	}
	status, err := p.Wait()
	if err != nil {
		w.t.Fatal(err)
	}
	return status, p.Log()
}

// writeFile writes text to a file in a temporary directory of the test and returns its path.
func (w *testbed) writeFile(name, text string) string {
	w.t.Helper()
	path := filepath.Join(w.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

var notRepeatable = http.Header{"Birchdrift-Not-Repeatable": {"true"}}
