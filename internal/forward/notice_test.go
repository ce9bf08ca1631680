package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/pool"
)

// TestNoticesAreRead tables what the head of an answer says of its replica: whatever the
// status, that it leaves; of one that turns a call away, for how long it wants none.
func TestNoticesAreRead(t *testing.T) {
	const date = "Thu, 03 Dec 2026 10:00:00 GMT"
	cases := []struct {
		name    string
		status  int
		leaving string
		rest    string
		date    string
		want    pool.Notice
	}{
		{"nothing", 200, "", "", "", pool.Notice{}},
		{"a success that leaves", 200, "1", "", "", pool.Notice{Leaving: true}},
		{"a failure that leaves", 500, " 1 ", "", "", pool.Notice{Leaving: true}},
		{"another replica that leaves", 421, "true", "", "", pool.Notice{Leaving: true}},
		{"one that does not leave", 200, "0", "", "", pool.Notice{}},
		{"a word that is not known", 200, "soon", "", "", pool.Notice{}},
		{"turned away", 503, "", "3", "", pool.Notice{Rest: 3 * time.Second}},
		{"turned away by one that leaves", 503, "1", "3", "", pool.Notice{Leaving: true, Rest: 3 * time.Second}},
		{"too many", 429, "", "3", "", pool.Notice{Rest: 3 * time.Second}},
		{"turned away without a span", 503, "", "", "", pool.Notice{}},
		{"a span of a success", 200, "", "3", "", pool.Notice{}},
		{"a span of a failure", 500, "", "3", "", pool.Notice{}},
		{"a fraction", 503, "", "0.25", "", pool.Notice{Rest: 250 * time.Millisecond}},
		{"an exponent", 503, "", "2e-1", "", pool.Notice{Rest: 200 * time.Millisecond}},
		{"blanks", 503, "", " 1.5 ", "", pool.Notice{Rest: 1500 * time.Millisecond}},
		{"no time", 503, "", "0", "", pool.Notice{}},
		{"a negative span", 503, "", "-3", "", pool.Notice{}},
		{"words", 503, "", "in a while", "", pool.Notice{}},
		{"a number and words", 503, "", "3 s", "", pool.Notice{}},
		{"no number", 503, "", "NaN", "", pool.Notice{}},
		{"infinite", 503, "", "Inf", "", pool.Notice{}},
		{"negative without end", 503, "", "-1e999", "", pool.Notice{}},
		{"a huge span", 503, "", "1e12", "", pool.Notice{Rest: maxRest}},
		{"a span that overflows", 503, "", "1e999", "", pool.Notice{Rest: maxRest}},
		{"a date", 503, "", "Thu, 03 Dec 2026 10:00:07 GMT", date, pool.Notice{Rest: 7 * time.Second}},
		{"a date that is over", 503, "", "Thu, 03 Dec 2026 09:00:00 GMT", date, pool.Notice{}},
		{"a date in an answer without one", 503, "", "Thu, 03 Dec 2026 10:00:07 GMT", "", pool.Notice{}},
		{"a date far off", 503, "", "Thu, 03 Dec 2099 10:00:07 GMT", date, pool.Notice{Rest: maxRest}},
	}
	wire := WireFormat{Leaving: "Leaving", RetryAfter: "Retry-After"}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			for name, value := range map[string]string{wire.Leaving: c.leaving, wire.RetryAfter: c.rest, "Date": c.date} {
				if value != "" {
					h.Set(name, value)
				}
			}
			is.Equal(wire.ReadNotice(&http.Response{StatusCode: c.status, Header: h}), c.want)
		})
	}
	t.Run("an environment without such headers", func(t *testing.T) {
		is := is.New(t)
		h := http.Header{"Leaving": {"1"}, "Retry-After": {"3"}}
		is.Equal(WireFormat{}.ReadNotice(&http.Response{StatusCode: 503, Header: h}), pool.Notice{})
	})
}

// TestRateLimitsAreRead tables what the head of an answer says of the requests a second
// that its replica takes.
func TestRateLimitsAreRead(t *testing.T) {
	named := func(rate float64) pool.RateLimit { return pool.RateLimit{Named: true, PerSecond: rate} }
	unclear := pool.RateLimit{Unclear: true}
	cases := []struct {
		name  string
		lines []string
		want  pool.RateLimit
	}{
		{"nothing", nil, pool.RateLimit{}},
		{"none at all", []string{"0"}, named(0)},
		{"a fraction", []string{"0.5"}, named(0.5)},
		{"a number", []string{"12"}, named(12)},
		{"an exponent", []string{"1e3"}, named(1000)},
		{"blanks", []string{"  2.5\t"}, named(2.5)},
		{"larger than any rate", []string{"1e12"}, named(maxRate)},
		{"a number that overflows", []string{"1e999"}, named(maxRate)},
		{"two lines", []string{"3", "2"}, named(2)},
		{"two in a line", []string{"2, 3"}, named(2)},
		{"one that makes sense and one that does not", []string{"x", "3"}, named(3)},
		{"negative", []string{"-1"}, unclear},
		{"negative without end", []string{"-1e999"}, unclear},
		{"no number", []string{"NaN"}, unclear},
		{"infinite", []string{"Inf"}, unclear},
		{"empty", []string{""}, unclear},
		{"words", []string{"a few"}, unclear},
		{"a number and words", []string{"3 a second"}, unclear},
	}
	wire := WireFormat{RateLimit: "Limit"}
	for _, c := range cases {
		for _, status := range []int{200, 404, 421, 500, 503} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				is.Equal(wire.ReadNotice(&http.Response{StatusCode: status, Header: http.Header{wire.RateLimit: c.lines}}), pool.Notice{Limit: c.want})
			})
		}
	}
	is.New(t).Equal(WireFormat{}.ReadNotice(&http.Response{Header: http.Header{"": {"3"}}}), pool.Notice{}) // an environment without such a header
}
