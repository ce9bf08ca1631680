package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func values(changed map[string]string) func(string) string {
	all := map[string]string{"name": "entry-1", "zone": "z1", "platform": "127.0.0.1:9"}
	for _, s := range Table {
		if _, ok := all[s.Name]; !ok {
			all[s.Name] = s.Default
		}
	}
	for k, v := range changed {
		all[k] = v
	}
	return func(name string) string { return all[name] }
}

func TestDefaultsAreAllowed(t *testing.T) {
	is := is.New(t)
	s, faults := Parse(values(nil))
	is.Equal(len(faults), 0)
	is.Equal(s.Callers, "127.0.0.1:8080")
	is.Equal(s.Options().LeaseTerm, s.LeaseTerm)
}

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	wrong := map[string]string{
		"name": "a b", "zone": "", "platform": "platform.example:80", "listen-callers": "localhost:1",
		"seed-peers": "127.0.0.1:1,nowhere", "log-level": "loud", "trace-share": "2", "max-body": "1",
		"stall": "1ns", "max-waiting": "0", "lease-term": "long",
	}
	_, faults := Parse(values(wrong))
	is.Equal(len(faults), len(wrong))
	for _, f := range faults {
		is.True(strings.Contains(f.Error(), "allowed: "))
		is.True(strings.HasPrefix(f.Error(), "BD-501 bad_setting: --"))
	}
}

func TestSecretsAreNotShown(t *testing.T) {
	is := is.New(t)
	s, faults := Parse(values(map[string]string{"peer-key": "hush-1", "operations-key": "hush-2"}))
	is.Equal(len(faults), 0)
	is.True(!strings.Contains(s.String(), "hush"))
}

// TestSettingsThatBreakABoundAreRefused checks that watch times which are allowed one by one
// are refused if together they would let a leaving replica get calls for too long.
func TestSettingsThatBreakABoundAreRefused(t *testing.T) {
	for _, tt := range []struct {
		name    string
		changed map[string]string
		want    string // part of the error; "" if there must be none
	}{
		{"the defaults", nil, ""},
		{"a longer bound", map[string]string{"leave-bound": "3s", "watch-wait": "400ms"}, ""},
		{"watches that wait long", map[string]string{"watch-wait": "1500ms"}, "could get calls for 2.6s, and 2s are allowed"},
		{"long pauses between watches", map[string]string{"watch-every": "1s"}, "could get calls for 2"},
		{"a bound that is too short for the waits that were set", map[string]string{"leave-bound": "1s", "watch-wait": "300ms"}, "and 1s are allowed"},
		{"a bound shorter than connecting takes, which the platform sets", map[string]string{"leave-bound": "400ms"}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			changed := map[string]string{"environment": EnvironmentPlatform}
			for k, v := range tt.changed {
				changed[k] = v
			}
			_, faults := Parse(values(changed))
			if tt.want == "" {
				is.Equal(faults, nil)
				return
			}
			is.Equal(len(faults), 1)
			is.True(strings.Contains(faults[0].Error(), tt.want))
		})
	}
}

// TestBoundThatCannotBeKeptIsReported checks that a leave bound which is too short to be kept
// is not a fault of the settings, since the platform states it: the instance starts, and
// CheckLeaveBound returns an error that it logs.
func TestBoundThatCannotBeKeptIsReported(t *testing.T) {
	is := is.New(t)
	for bound, kept := range map[string]bool{"2s": true, "3s": true, "400ms": false} {
		s, faults := Parse(values(map[string]string{"environment": EnvironmentPlatform, "leave-bound": bound}))
		is.Equal(faults, nil)
		is.Equal(s.CheckLeaveBound() == nil, kept)
	}
}
