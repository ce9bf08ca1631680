package relay

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/crash"
)

// TestAttemptsTravelWhole guards against relayed attempts whose requests are not blamed for what they
// crash, because their identity is lost on the way.
func TestAttemptsTravelWhole(t *testing.T) {
	for _, request := range []crash.Request{
		{Fingerprint: 1 << 63},
		{Fingerprint: 1, Model: "m", Parts: []crash.PartID{255, 1 << 63}},
	} {
		is := is.New(t)
		a := Attempt{Replica: "r", From: "i", Call: "c", Request: request, Repeatable: true}
		h := http.Header{"Other": {"x"}}
		a.SetHeaders(h)
		got, err := readAttempt(h)
		is.NoErr(err)
		is.Equal(got, a)
		is.Equal(h, http.Header{"Other": {"x"}})
	}
}

// TestOddPartsAreRejected checks that lists of parts that no instance sends are errors.
func TestOddPartsAreRejected(t *testing.T) {
	for _, parts := range []string{"x", "1,,2", strings.Repeat("1,", crash.MaxParts) + "1"} {
		h := http.Header{}
		Attempt{Request: crash.Request{Fingerprint: 1}}.SetHeaders(h)
		h.Set(headerParts, parts)
		if _, err := readAttempt(h); err == nil {
			t.Errorf("parts %.20q were accepted", parts)
		}
	}
}
