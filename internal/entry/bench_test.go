package entry

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkFingerprint measures the fingerprint of a request whose body holds a long
// prompt.
func BenchmarkFingerprint(b *testing.B) {
	body := strings.Repeat("x", 20_000)
	r := httptest.NewRequest("POST", "http://host/path", strings.NewReader(body))
	buffered := &Body{buffered: []byte(body)}
	b.ReportAllocs()
	for b.Loop() {
		fingerprint(r, buffered)
	}
}
