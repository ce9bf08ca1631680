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
