// Package crashtest helps tests that report crashes of replicas.
package crashtest

import "github.com/birchdrift/birchdrift/core/crash"

// Requests returns requests whose prompts have no shared parts.
func Requests(fingerprints ...crash.Fingerprint) []crash.Request {
	var out []crash.Request
	for _, f := range fingerprints {
		out = append(out, crash.Request{Fingerprint: f})
	}
	return out
}
