package service

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestHopByHopHeadersEndHere checks that EndToEndHeaders removes the standard hop-by-hop
// headers and those that the Connection header names.
func TestHopByHopHeadersEndHere(t *testing.T) {
	is := is.New(t)
	in := http.Header{
		"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Upgrade": {"h2c"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Keep-Alive": {"5"}, "X-Kept": {"yes"}, "Idempotency-Key": {"k"},
	}
	out := EndToEndHeaders(in)
	is.Equal(out, http.Header{"X-Kept": {"yes"}, "Idempotency-Key": {"k"}})
	is.Equal(in.Get("X-Private"), "1") // the original is unchanged
}
