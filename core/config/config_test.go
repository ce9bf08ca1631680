package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/code"
)

const validDocument = `
zones: [{name: z1, region: sicily}]
engines:
  - {name: e1, address: "127.0.0.1:1", zone: z1, accelerators: 1, memory_mib: 1000, sequences: 4}
models:
  - {name: m1, memory_mib: 500}
adapters:
  - {name: a1, model: m1, memory_mib: 10}
services:
  - name: notes
    versions: [{name: v1, model: m1, adapter: a1, share: 9}, {name: v2, model: m1, share: 1}]
    policy: p1
  - name: stock
    replicas: [{name: s1, address: "127.0.0.1:2", zone: z1}]
    routes: [{prefix: /allocations, not_repeatable: true}]
callers:
  - {name: desk, key_sha256: "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", services: [notes]}
policies:
  - {name: p1, priority: "prompt_tokens > 10 ? 10 : 60", refuse: "load > 2.0", wait: 'duration("1s")', default: {priority: 40}}
`

func mustParse(t *testing.T, text string) File {
	t.Helper()
	f, faults := Parse([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults[0])
	}
	return f
}

func TestValidDocumentIsAccepted(t *testing.T) {
	is := is.New(t)
	f := mustParse(t, validDocument)
	is.Equal(len(f.Validate()), 0)
	f.Document.Revision = 3
	data, err := f.Document.Encode()
	is.NoErr(err)
	decoded, err := Decode(data)
	is.NoErr(err)
	s, err := NewSnapshot(decoded)
	is.NoErr(err)
	is.Equal(s.Revision(), uint64(3))
	svc, ok := s.Service("notes")
	is.True(ok)
	is.Equal(svc.Target.FirstToken, DefaultFirstToken)
	is.Equal(svc.PickVersion(0.89).Name, "v1")
	is.Equal(svc.PickVersion(0.91).Name, "v2")
	_, ok = s.Service("m1") // a model's own name
	is.True(ok)
	caller, ok := s.CallerByKey("foo")
	is.True(ok)
	is.True(caller.MayCall("notes"))
	is.True(!caller.MayCall("stock"))
	_, ok = s.CallerByKey("bar")
	is.True(!ok)
}

func TestRoutesOverrideService(t *testing.T) {
	is := is.New(t)
	s, err := NewSnapshot(mustParse(t, validDocument).Document)
	is.NoErr(err)
	svc, _ := s.Service("stock")
	is.True(svc.MayRepeat("/levels"))
	is.True(!svc.MayRepeat("/allocations/7"))
}

// TestFaultsHaveCodePathAndLine introduces one fault at a time into the valid
// document and expects its code, path and line to be reported.
func TestFaultsHaveCodePathAndLine(t *testing.T) {
	cases := []struct {
		name, old, new string
		code           code.Code
		path           string
	}{
		{"unknown field", "region: sicily", "colour: red", code.ConfigUnknownField, ""},
		{"not YAML", "zones: [", "zones: [[", code.ConfigSyntax, ""},
		{"wrong type", "memory_mib: 500", "memory_mib: much", code.ConfigSyntax, ""},
		{"dangling zone", `"127.0.0.1:1", zone: z1`, `"127.0.0.1:1", zone: z9`, code.ConfigDanglingName, "engines[0].zone"},
		{"dangling model", "model: m1, adapter: a1", "model: m9, adapter: a1", code.ConfigDanglingName, "services[0].versions[0].model"},
		{"dangling adapter", "adapter: a1", "adapter: a9", code.ConfigDanglingName, "services[0].versions[0].adapter"},
		{"dangling policy", "policy: p1", "policy: p9", code.ConfigDanglingName, "services[0].policy"},
		{"dangling service", "services: [notes]", "services: [nets]", code.ConfigDanglingName, "callers[0].services[0]"},
		{"duplicate name", "name: a1, model", "name: m1, model", code.ConfigDuplicateName, "adapters[0].name"},
		{"bad name", "name: e1", `name: "e 1"`, code.ConfigBadValue, "engines[0].name"},
		{"hostname", `"127.0.0.1:1"`, `"engine:1"`, code.ConfigBadValue, "engines[0].address"},
		{"never fits", "memory_mib: 500", "memory_mib: 5000", code.ConfigNeverFits, "models[0].memory_mib"},
		{"adapter never fits", "memory_mib: 10}", "memory_mib: 501}", code.ConfigNeverFits, "adapters[0].memory_mib"},
		{"no sequences", "sequences: 4", "sequences: 0", code.ConfigBadValue, "engines[0].sequences"},
		{"negative share", "share: 9", "share: -1", code.ConfigBadValue, "services[0].versions[0].share"},
		{"policy type", "prompt_tokens > 10 ? 10 : 60", "model + service", code.ConfigBadPolicy, "policies[0].priority"},
		{"policy name", "load > 2.0", "lood > 2.0", code.ConfigBadPolicy, "policies[0].refuse"},
		{"bad hash", "2c26b46b", "zz26b46b", code.ConfigBadValue, "callers[0].key_sha256"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validDocument, c.old, c.new, 1)
			is.True(text != validDocument)
			f, faults := Parse([]byte(text))
			if len(faults) == 0 {
				faults = f.Validate()
			}
			is.True(len(faults) > 0)
			var found *code.Error
			for _, f := range faults {
				if f.Code == c.code && f.Path == c.path {
					found = f
				}
			}
			if found == nil {
				t.Fatalf("%v", faults)
			}
			if c.path != "" {
				line := 1 + strings.Count(text[:strings.Index(text, c.new)], "\n")
				is.Equal(found.Line, line)
			}
		})
	}
}

// TestEncodedSizeAtDesignScale logs the size of the encoded document and checks that
// it stays well below the platform's limit for one value.
func TestEncodedSizeAtDesignScale(t *testing.T) {
	is := is.New(t)
	var d Document
	d.Zones = []Zone{{Name: "z1"}}
	for i := range 850 {
		d.Engines = append(d.Engines, Engine{
			Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i%200, i/200, i%250), Zone: "z1",
			Accelerators: 8, MemoryMiB: 80 << 10, Sequences: 64, ChecksFence: true,
		})
	}
	for i := range 1900 {
		model := fmt.Sprintf("model-%d", i)
		d.Models = append(d.Models, Model{Name: model, MemoryMiB: int64(4000 + i*7%9000), LoadTime: time.Duration(i%20) * time.Second})
		d.Services = append(d.Services, Service{Name: "service-" + model, Versions: []Version{{Name: "v1", Model: model, Share: 1}}, Policy: "p"})
	}
	d.Policies = []Policy{{Name: "p", Priority: "50"}}
	data, err := d.Encode()
	is.NoErr(err)
	t.Logf("1,900 models and services, 850 engines: %d bytes stored, %d allowed", len(data), MaxEncodedBytes)
	is.True(len(data) < MaxEncodedBytes/4) // room to grow without sharding
}

// FuzzParse checks that Parse and Validate do not panic on arbitrary input, such
// as operators could send.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("{"))
	f.Add([]byte("zones: 3"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if file, faults := Parse(data); len(faults) == 0 {
			file.Validate()
		}
	})
}

// FuzzDecode checks that Decode and NewSnapshot do not panic on arbitrary input,
// such as a peer or the platform could send.
func FuzzDecode(f *testing.F) {
	data, err := Document{Revision: 1}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if doc, err := Decode(data); err == nil {
			_, _ = NewSnapshot(doc)
		}
	})
}
