package integration

import (
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/standin/fleet"
	"github.com/birchdrift/birchdrift/standin/platform"
)

const sampleConfig = `
zones: [{name: z1}]
services:
  - name: stock
    replicas: [{name: s1, address: "127.0.0.1:1", zone: z1}]
`

// TestWrongSettingsGiveNumberedErrors checks that all invalid settings are reported at
// once, with their codes, and that the exit status is 2.
func TestWrongSettingsGiveNumberedErrors(t *testing.T) {
	is := is.New(t)
	p, err := fleet.Start("birchdrift", filepath.Join(bin, "birchdrift"), "--name", "x", "--zone", "z1", "--platform", "platform:1", "--stall", "never")
	is.NoErr(err)
	status, err := p.Wait()
	is.NoErr(err)
	is.Equal(status, 2)
	is.True(strings.Contains(p.Log(), `BD-501 bad_setting: --platform (BIRCHDRIFT_PLATFORM) is "platform:1"; allowed: IP:port`))
	is.True(strings.Contains(p.Log(), `BD-501 bad_setting: --stall`))
	p, err = fleet.Start("birchdrift", filepath.Join(bin, "birchdrift"), "--no-such-flag")
	is.NoErr(err)
	status, err = p.Wait()
	is.NoErr(err)
	is.Equal(status, 2)
	is.True(strings.Contains(p.Log(), "BD-502 bad_usage"))
}

// TestWrongConfigurationChangesNothing checks that an invalid configuration is rejected
// with the code, line and path of the fault and that the current revision stays.
func TestWrongConfigurationChangesNothing(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	good := tb.writeFile("good.yaml", sampleConfig)
	status, out := tb.runBirchctl("apply", "--platform", tb.address, good)
	is.Equal(status, 0)
	is.Equal(strings.TrimSpace(out), "revision 1 accepted")
	bad := tb.writeFile("bad.yaml", strings.Replace(sampleConfig, "zone: z1}]\n", "zone: z7}]\n", 1))
	status, out = tb.runBirchctl("apply", "--platform", tb.address, bad)
	is.Equal(status, 1)
	is.True(strings.Contains(out, `BD-413 config_dangling_name: line 5: services[0].replicas[0].zone: no zone "z7"`))
	status, out = tb.runBirchctl("get", "--platform", tb.address)
	is.Equal(status, 0)
	is.True(strings.Contains(out, "revision: 1"))
	is.True(!strings.Contains(out, "z7"))
	status, out = tb.runBirchctl("validate", good)
	is.Equal(status, 0)
	is.True(strings.HasPrefix(out, "valid: 1 services"))
	changed := tb.writeFile("changed.yaml", strings.Replace(sampleConfig, "127.0.0.1:1", "127.0.0.1:2", 1))
	status, out = tb.runBirchctl("diff", "--platform", tb.address, changed)
	is.Equal(status, 0)
	is.True(strings.Contains(out, "-          address: 127.0.0.1:1") && strings.Contains(out, "+          address: 127.0.0.1:2"))
}

// TestPlatformDownGivesOneNumberedError checks that an operator's command reports an
// outage of the platform with one numbered error.
func TestPlatformDownGivesOneNumberedError(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	tb.platform.Faults.Set(platform.Faults{Down: true})
	status, out := tb.runBirchctl("apply", "--platform", tb.address, tb.writeFile("good.yaml", sampleConfig))
	is.Equal(status, 1)
	is.Equal(strings.Count(out, "BD-"), 1)
	is.True(strings.Contains(out, "BD-401 platform_down"))
}

// TestDeadUpstreamGivesOneNumberedError checks that a caller gets one numbered error, at
// once, if the upstream's address does not accept connections.
func TestDeadUpstreamGivesOneNumberedError(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	in := tb.startInstance("entry-1", "z1")
	status, _ := tb.runBirchctl("apply", "--platform", tb.address, tb.writeFile("good.yaml", sampleConfig))
	is.Equal(status, 0)
	tb.await("ready", in.Ready)
	a, err := in.Post("/services/stock/x", "", nil)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusBadGateway)
	r := parseError(t, a)
	is.Equal(r.Error.Code, 302)
	is.Equal(r.Error.Run, "not_run")
}

// TestStatusAndExplainSayWhy checks that the status and explain commands show where models
// are ready and where calls were sent.
func TestStatusAndExplainSayWhy(t *testing.T) {
	is := is.New(t)
	tb, in, _ := oneEngine(t, nil)
	a, err := chat(in, "svc-m1", "x", 2, false)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusOK)
	status, out := tb.runBirchctl("status", "--operations", in.Operations)
	is.Equal(status, 0)
	is.True(strings.Contains(out, "entry-1"))
	status, out = tb.runBirchctl("explain", "model", "--operations", in.Operations, "m1")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "ready on e1 in z1 (live)"))
	status, out = tb.runBirchctl("explain", "calls", "--operations", in.Operations, "svc-m1")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "e1, attempt 1"))
}

// TestCallersAuthenticateByKey checks that only configured keys are admitted, and only to
// their services.
func TestCallersAuthenticateByKey(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	in := tb.startInstance("entry-1", "z1")
	// The hash is that of the key "foo".
	text := sampleConfig + "callers:\n  - {name: desk, key_sha256: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae, services: [stock]}\n"
	status, _ := tb.runBirchctl("apply", "--platform", tb.address, tb.writeFile("keys.yaml", text))
	is.Equal(status, 0)
	tb.await("ready", in.Ready)
	for key, want := range map[string]int{"": 401, "bar": 401, "foo": 502} {
		a, err := in.Post("/services/stock/x", "", http.Header{"Authorization": {"Bearer " + key}})
		is.NoErr(err)
		is.Equal(a.Status, want)
	}
}
