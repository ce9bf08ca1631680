package forward

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/pool"
)

// maxRest bounds for how long a replica may want no calls, so that no span
// overflows: longer than any load lasts.
const maxRest = 24 * time.Hour

// maxRate bounds a limit, in requests a second: more than any replica is sent
// (docs/design/limits.md).
const maxRate = 1e6

// ReadNotice reads what a replica says of itself in the head of an answer. What makes no
// sense says nothing.
func (w WireFormat) ReadNotice(resp *http.Response) pool.Notice {
	var n pool.Notice
	if w.Leaving != "" {
		// An error leaves false: a word that is not known says nothing.
		n.Leaving, _ = strconv.ParseBool(strings.TrimSpace(resp.Header.Get(w.Leaving)))
	}
	if allowsRetryAfter(resp.StatusCode) {
		n.Rest = parseRetryAfter(resp.Header.Get(w.RetryAfter), resp.Header.Get("Date"))
	}
	if w.RateLimit != "" {
		n.Limit = parseRateLimit(resp.Header.Values(w.RateLimit))
	}
	return n
}

// parseRateLimit returns the limit that header lines name: the smallest, if they name several.
// A value that makes no sense names none, and does not say that there is none either.
func parseRateLimit(lines []string) pool.RateLimit {
	var l pool.RateLimit
	for _, line := range lines {
		for value := range strings.SplitSeq(line, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			tooLarge := errors.Is(err, strconv.ErrRange) && rate > 0
			if err != nil && !tooLarge || math.IsNaN(rate) || rate < 0 || math.IsInf(rate, 0) && !tooLarge {
				l.Unclear = true
				continue
			}
			if !l.Named || rate < l.PerSecond {
				l.PerSecond = min(rate, maxRate)
			}
			l.Named = true
		}
	}
	l.Unclear = l.Unclear && !l.Named
	return l
}

// allowsRetryAfter reports whether a replica that answers with the status may say when it wants
// calls again.
func allowsRetryAfter(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// parseRetryAfter returns the span that a Retry-After header names, 0 for one that makes no sense:
// seconds, with fractions, or a date (RFC 9110, 10.2.3), which counts from that of the
// answer, since clocks differ.
func parseRetryAfter(value, date string) time.Duration {
	value = strings.TrimSpace(value)
	if until, err := http.ParseTime(value); err == nil {
		from, err := http.ParseTime(date)
		if err != nil {
			return 0
		}
		return min(max(0, until.Sub(from)), maxRest)
	}
	s, err := strconv.ParseFloat(value, 64)
	tooLarge := errors.Is(err, strconv.ErrRange)
	if err != nil && !tooLarge || !tooLarge && math.IsInf(s, 0) || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, maxRest.Seconds()) * float64(time.Second))
}
