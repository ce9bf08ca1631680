package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/pool"
)

// TestNoticesAreRead checks what is read from the headers of an answer: that the replica
// is leaving, for any status, and its Retry-After, only for a status that refuses a call.
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
		{"a success of a leaving replica", 200, "1", "", "", pool.Notice{Leaving: true}},
		{"a failure of a leaving replica", 500, " 1 ", "", "", pool.Notice{Leaving: true}},
		{"misdirected to a leaving replica", 421, "true", "", "", pool.Notice{Leaving: true}},
		{"a replica that is not leaving", 200, "0", "", "", pool.Notice{}},
		{"an unknown word", 200, "soon", "", "", pool.Notice{}},
		{"refused with a number of seconds", 503, "", "3", "", pool.Notice{Rest: 3 * time.Second}},
		{"refused by a leaving replica", 503, "1", "3", "", pool.Notice{Leaving: true, Rest: 3 * time.Second}},
		{"too many requests", 429, "", "3", "", pool.Notice{Rest: 3 * time.Second}},
		{"refused without Retry-After", 503, "", "", "", pool.Notice{}},
		{"Retry-After in a success", 200, "", "3", "", pool.Notice{}},
		{"Retry-After in a failure", 500, "", "3", "", pool.Notice{}},
		{"a fraction", 503, "", "0.25", "", pool.Notice{Rest: 250 * time.Millisecond}},
		{"an exponent", 503, "", "2e-1", "", pool.Notice{Rest: 200 * time.Millisecond}},
		{"blanks", 503, "", " 1.5 ", "", pool.Notice{Rest: 1500 * time.Millisecond}},
		{"the number zero", 503, "", "0", "", pool.Notice{}},
		{"a negative number", 503, "", "-3", "", pool.Notice{}},
		{"words", 503, "", "in a while", "", pool.Notice{}},
		{"a number and words", 503, "", "3 s", "", pool.Notice{}},
		{"not a number", 503, "", "NaN", "", pool.Notice{}},
		{"infinite", 503, "", "Inf", "", pool.Notice{}},
		{"a negative number that overflows", 503, "", "-1e999", "", pool.Notice{}},
		{"a huge number", 503, "", "1e12", "", pool.Notice{Rest: maxRest}},
		{"a number that overflows", 503, "", "1e999", "", pool.Notice{Rest: maxRest}},
		{"a date", 503, "", "Thu, 03 Dec 2026 10:00:07 GMT", date, pool.Notice{Rest: 7 * time.Second}},
		{"a date in the past", 503, "", "Thu, 03 Dec 2026 09:00:00 GMT", date, pool.Notice{}},
		{"a date in an answer without a Date header", 503, "", "Thu, 03 Dec 2026 10:00:07 GMT", "", pool.Notice{}},
		{"a date in the far future", 503, "", "Thu, 03 Dec 2099 10:00:07 GMT", date, pool.Notice{Rest: maxRest}},
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

// TestRateLimitsAreRead checks which rate limit is read from the headers of an answer,
// whatever its status.
func TestRateLimitsAreRead(t *testing.T) {
	named := func(rate float64) pool.RateLimit { return pool.RateLimit{Named: true, PerSecond: rate} }
	unclear := pool.RateLimit{Unclear: true}
	cases := []struct {
		name  string
		lines []string
		want  pool.RateLimit
	}{
		{"nothing", nil, pool.RateLimit{}},
		{"the number zero", []string{"0"}, named(0)},
		{"a fraction", []string{"0.5"}, named(0.5)},
		{"a number", []string{"12"}, named(12)},
		{"an exponent", []string{"1e3"}, named(1000)},
		{"blanks", []string{"  2.5\t"}, named(2.5)},
		{"larger than the maximum", []string{"1e12"}, named(maxRate)},
		{"a number that overflows", []string{"1e999"}, named(maxRate)},
		{"two lines", []string{"3", "2"}, named(2)},
		{"two in a line", []string{"2, 3"}, named(2)},
		{"an invalid value and a valid one", []string{"x", "3"}, named(3)},
		{"negative", []string{"-1"}, unclear},
		{"a negative number that overflows", []string{"-1e999"}, unclear},
		{"not a number", []string{"NaN"}, unclear},
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

// TestRejectionLimitsAreRead checks how the number of requests that a replica can reject is read.
func TestRejectionLimitsAreRead(t *testing.T) {
	for _, c := range []struct {
		lines  []string
		status int
		want   pool.RejectionLimit
	}{
		{nil, 200, pool.RejectionLimit{}},
		{[]string{"4"}, 200, pool.RejectionLimit{Named: true, PerSecond: 4}},
		{[]string{" 4 "}, 503, pool.RejectionLimit{Named: true, PerSecond: 4}},
		{[]string{"0"}, 200, pool.RejectionLimit{Named: true}},
		{[]string{"2.7"}, 200, pool.RejectionLimit{Named: true, PerSecond: 2}},
		{[]string{"5", "3, 4"}, 200, pool.RejectionLimit{Named: true, PerSecond: 3}},
		{[]string{"4", "many"}, 200, pool.RejectionLimit{Named: true, PerSecond: 4}},
		{[]string{"many"}, 200, pool.RejectionLimit{Named: true}},
		{[]string{"-1"}, 200, pool.RejectionLimit{Named: true}},
		{[]string{"4"}, OwnFormat.Misdirected, pool.RejectionLimit{}}, // another replica's
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{}}
		for _, line := range c.lines {
			resp.Header.Add(OwnFormat.RejectionLimit, line)
		}
		is.New(t).Equal(OwnFormat.ReadNotice(resp).Rejections, c.want)
	}
}
