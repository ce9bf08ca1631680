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

// maxRest is the longest time for which a replica may ask for no calls. It is longer
// than any load takes and keeps durations from overflowing.
const maxRest = 24 * time.Hour

// maxRate is the largest rate limit, in requests per second: more than any replica is
// sent (docs/design/limits.md).
const maxRate = 1e6

// ReadNotice returns what a replica reports about itself in the headers of an answer. It
// ignores values that cannot be parsed.
func (w WireFormat) ReadNotice(resp *http.Response) pool.Notice {
	var n pool.Notice
	if w.Leaving != "" {
		// On an error ParseBool returns false: an unknown word is ignored.
		n.Leaving, _ = strconv.ParseBool(strings.TrimSpace(resp.Header.Get(w.Leaving)))
	}
	if allowsRetryAfter(resp.StatusCode) {
		n.Rest = parseRetryAfter(resp.Header.Get(w.RetryAfter), resp.Header.Get("Date"))
	}
	if w.RateLimit != "" {
		n.Limit = parseRateLimit(resp.Header.Values(w.RateLimit))
	}
	if w.RejectionLimit != "" && resp.StatusCode != w.Misdirected {
		n.Rejections = parseRejectionLimit(resp.Header.Values(w.RejectionLimit))
	}
	return n
}

// parseRateLimit returns the rate limit in header lines: the smallest, if there are several.
// Values that cannot be parsed are ignored. If there are only such values the limit is
// Unclear: neither stated nor withdrawn.
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

// parseRejectionLimit returns the rejection limit in header lines: the smallest, if there are
// several, rounded down. Values that cannot be parsed are ignored; if there are only such values,
// the replica is taken to be able to reject nothing.
func parseRejectionLimit(lines []string) pool.RejectionLimit {
	rate := parseRateLimit(lines)
	return pool.RejectionLimit{Named: rate.Named || rate.Unclear, PerSecond: int(rate.PerSecond)}
}

// allowsRetryAfter reports whether Retry-After is read from an answer with the status: a
// replica that refuses calls may say when it accepts them again.
func allowsRetryAfter(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// parseRetryAfter returns the delay in a Retry-After header, or 0 if it cannot be parsed.
// The value is a number of seconds, with fractions, or a date (RFC 9110, 10.2.3). A date
// is compared with the Date header of the answer, since clocks differ.
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
