package entry

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkFingerprint measures what telling requests apart costs a call with the body
// of a long prompt.
func BenchmarkFingerprint(b *testing.B) {
	body := strings.Repeat("x", 20_000)
	r := httptest.NewRequest("POST", "http://host/path", strings.NewReader(body))
	kept := &Body{buffered: []byte(body)}
	b.ReportAllocs()
	for b.Loop() {
		fingerprint(r, kept)
	}
}
