package losses

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/logevent"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// logLine returns a line of instance i's log, written at the given time after start.
func logLine(after time.Duration, event logevent.Number, fields string) string {
	return fmt.Sprintf(`{"time":%q,"instance":"i","zone":"z","event":%d,%s}`, start.Add(after).Format(time.RFC3339Nano), event, fields)
}

const (
	sentFields = `"call":"c","item":"m/a","attempt":1,"rank":1,"target_ms":400,"gap_ms":250,"replica":"r"`
	missFields = `"call":"c","code":203,"detail":"\"m\" is not resident"`
)

// TestReasons checks, for logs with known causes, the outcome and reason of a call.
func TestReasons(t *testing.T) {
	placing := logLine(0, logevent.Placing, `"orphan":false`)
	placed := logLine(time.Second, logevent.Placement, `"engine":"e","load":"m","source":"disk"`)
	ended := func(after time.Duration, detail string) string {
		return logLine(after, logevent.PlacementEnded, fmt.Sprintf(`"engine":"e","load":"m","detail":%q`, detail))
	}
	ordered := logLine(2*time.Second, logevent.EngineOrder, `"engine":"e","load":true,"item":"m"`)
	other := logLine(time.Second, logevent.CallFailed, `"call":"before","code":203,"detail":"\"m\" is not resident"`)
	for _, tt := range []struct {
		name string
		log  []string
		want string
	}{
		{"in time", []string{logLine(0, logevent.CallSent, sentFields), logLine(1, logevent.CallServed, `"call":"c","waited_ms":100,"first_ms":300,"pause_ms":250`)}, "in time"},
		{"a queue", []string{logLine(0, logevent.CallSent, sentFields), logLine(1, logevent.CallServed, `"call":"c","waited_ms":0,"first_ms":401`)}, "late: the queue at the engine"},
		{"a pause", []string{logLine(0, logevent.CallSent, sentFields), logLine(1, logevent.CallServed, `"call":"c","first_ms":100,"pause_ms":251`)}, "late: a pause in the stream"},
		{"a second attempt", []string{
			logLine(0, logevent.CallSent, sentFields), logLine(1, logevent.CallRetried, `"call":"c"`), logLine(2, logevent.CallSent, sentFields),
			logLine(3, logevent.CallServed, `"call":"c","waited_ms":500,"first_ms":10`),
		}, "late: retried after a failure"},
		{"an order", []string{
			logLine(0, logevent.CallWaits, `"call":"c","for":"an order"`), logLine(1, logevent.CallSent, sentFields),
			logLine(2, logevent.CallServed, `"call":"c","waited_ms":500,"first_ms":10`),
		}, "late: waited for an order"},
		{"the replica died", []string{logLine(0, logevent.CallSent, sentFields), logLine(1, logevent.CallFailed, `"call":"c","code":303,"detail":"unexpected EOF"`)},
			"failed: stream_cut: the replica closed the connection"},
		{"the caller left", []string{logLine(0, logevent.CallSent, sentFields)}, "unanswered: its caller left"},
		{"the instance died", []string{logLine(0, logevent.CallSent, sentFields), logLine(time.Second, logevent.Listening, `"callers":"x"`)},
			"unanswered: its caller left, or its instance ended"},
		{"an adapter", []string{logLine(0, logevent.CallFailed, `"call":"c","code":203,"detail":"\"m/a\" cannot be loaded where its model is"`)},
			"refused: its adapter cannot be loaded where its model is"},
		{"no placer", []string{logLine(0, logevent.CallFailed, missFields)}, "refused: not resident: no instance places models"},
		{"the first request", []string{placing, logLine(time.Second, logevent.CallFailed, missFields)}, "refused: not resident: it was not requested before"},
		{"requested before, without a placement", []string{placing, other, logLine(2*time.Second, logevent.CallFailed, missFields)}, "refused: not resident: no change was begun for it"},
		{"not ordered", []string{placing, placed, logLine(1500*time.Millisecond, logevent.CallFailed, missFields), ordered, ended(3*time.Second, placementDone)},
			"refused: not resident: its load was not ordered yet"},
		{"loading", []string{placing, placed, ordered, logLine(2500*time.Millisecond, logevent.CallFailed, missFields), ended(3*time.Second, placementDone)},
			"refused: not resident: loading from disk"},
		{"a failed placement", []string{placing, placed, logLine(2*time.Second, logevent.CallFailed, missFields), ended(3*time.Second, "the engine is gone")},
			"refused: not resident: its change came to nothing: the engine is gone"},
		{"the placer died", []string{placing, placed, logLine(2*time.Second, logevent.CallFailed, missFields)},
			"refused: not resident: the placer that began its change is gone"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := Read(strings.NewReader(strings.Join(tt.log, "\n")))
			is.NoErr(err)
			is.Equal(outcomeLabel(l.calls["c"]), tt.want)
		})
	}
}

// TestWrongInput checks that lines which are not of an instance's log are counted and
// skipped, and that input without any line of an instance's log is an error.
func TestWrongInput(t *testing.T) {
	is := is.New(t)
	good := logLine(0, logevent.CallSent, sentFields)
	lines := []string{
		"", "hello", "{", good[:len(good)/2], `{"time":"yesterday"}`, `{"event":1804}`, `[1,2]`,
		"  12.5 host-1 " + good, // with a collector's prefix
		logLine(0, logevent.CallSent, `"attempt":1`),
	}
	l, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	is.NoErr(err)
	is.Equal(l.lines, 2)
	is.Equal(l.skipped, 7)
	is.Equal(l.withoutCallID, 1)
	is.Equal(len(l.calls), 1)

	for _, empty := range []string{"", "hello\nworld"} {
		_, err := Read(strings.NewReader(empty))
		is.True(err != nil)
	}
	_, err = Read(strings.NewReader(good + "\n" + strings.Repeat("x", maxLineSize+1)))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 2")) // the number of the line that is too long
}

// TestReport checks that each call is counted once in each table and that a window shows
// its most frequent reason for losses.
func TestReport(t *testing.T) {
	is := is.New(t)
	var lines []string
	for i := range 10 {
		call := fmt.Sprintf(`"call":"s%d"`, i)
		lines = append(lines,
			logLine(time.Second, logevent.CallSent, strings.Replace(sentFields, `"call":"c"`, call, 1)),
			logLine(2*time.Second, logevent.CallServed, call+`,"first_ms":10`))
	}
	for i := range 30 {
		lines = append(lines, logLine(3*time.Second, logevent.CallFailed, fmt.Sprintf(`"call":"f%d","item":"m","code":202`, i)))
	}
	l, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(l.Report(&out))
	for _, want := range []string{
		"40 calls in 50 lines",
		"refused: target_missed  30     75.0%",
		"z        40     10       0     30       0       0",
		"never sent  30     0        0     30       0       0",
		"2s         30     ----------------------------------------              refused: target_missed (30)",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

// TestRetriesAreAddedUp checks the table of retries: over all instances and their lives, in the
// window with the most retries, and by part of the budget.
func TestRetriesAreAddedUp(t *testing.T) {
	is := is.New(t)
	var lines []string
	for i := range 20 {
		lines = append(lines, logLine(time.Duration(i)*time.Second, logevent.CallSent, fmt.Sprintf(`"call":"c%d","service":"s","attempt":1`, i)))
	}
	retry := func(after time.Duration, part string, boot int) {
		lines = append(lines, logLine(after, logevent.RetryCharged, fmt.Sprintf(`"call":"c1","service":"s","part":%q,"boot":%d`, part, boot)))
	}
	retry(2*time.Second, "instance", 1)
	retry(11500*time.Millisecond, "instance", 1)
	retry(12500*time.Millisecond, "instance", 2)
	retry(13500*time.Millisecond, "lent", 3)
	lines = append(lines, logLine(14*time.Second, logevent.CallNotRepeated, `"call":"c2","service":"s","reason":"the retry budget is used up"`),
		logLine(14*time.Second, logevent.CallNotRepeated, `"call":"c3","service":"s","reason":"it may have run"`))
	l, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(l.Report(&out))
	for _, want := range []string{
		"RETRIES OF  ALL  DENIED  MOST IN 10s  FROM      CALLS THEN  OWN  LENT  SPENT BY",
		"s           4    1       3            03:04:16  10          3    1     3",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

// TestStreamsAreFollowed checks the table of streams: attempts that go on within an answer, and
// those of calls that take a stream up, at whichever instance and in whichever order the logs come.
func TestStreamsAreFollowed(t *testing.T) {
	is := is.New(t)
	sent := func(after int, call, software, resumes string, lastEvent int) string {
		return logLine(time.Duration(after)*time.Second, logevent.CallSent,
			fmt.Sprintf(`"call":%q,"service":"s","software":%q,"resumes":%q,"last_event":%d`, call, software, resumes, lastEvent))
	}
	lines := []string{
		sent(5, "b", "v2", "a", 4), // taken up at another version
		sent(6, "b", "v1", "a", 5), // back at the version that began it
		sent(7, "d", "v1", "c", 3), // the log does not show where it began
		sent(8, "e", "v1", "", 3),  // nor does its caller say
		sent(1, "a", "v2", "", 0),  // failed before the first event
		sent(2, "a", "v1", "", 0),
		sent(3, "a", "v2", "", 2),
		sent(9, "f", "v1", "b", 7), // names the call that took it up
	}
	l, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(l.Report(&out))
	for _, want := range []string{
		"STREAMS OF  WENT ON            ALL  SAME VERSION  OTHER VERSION  BEGINNING NOT LOGGED",
		"s           within the answer  2    1             1              0",
		"s           taken up           4    1             1              2",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

// TestPartsOfCrashedReplicasAreListed checks the table of parts of prompts under which replicas ended.
func TestPartsOfCrashedReplicasAreListed(t *testing.T) {
	is := is.New(t)
	var lines []string
	for n := range 6 {
		at := time.Duration(n) * time.Second
		call := fmt.Sprintf("c%d", n)
		lines = append(lines,
			logLine(at, logevent.CallSent, fmt.Sprintf(`"call":%q,"parts":["f","bad"]`, call)),
			logLine(at, logevent.CallSent, fmt.Sprintf(`"call":"sound%d","parts":["f"]`, n)),
			logLine(at+time.Second, logevent.CallServed, fmt.Sprintf(`"call":"sound%d"`, n)),
			logLine(at+time.Second, logevent.UpstreamEnded, fmt.Sprintf(`"upstream":"r%d","parts":["f","bad"]`, n)),
			logLine(at+time.Second, logevent.UpstreamEnded, fmt.Sprintf(`"upstream":"r%d","parts":["f"]`, n)))
	}
	lines = append(lines, logLine(9*time.Second, logevent.CallSent, `"call":"d","parts":["bad"]`))
	l, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(l.Report(&out))
	for _, want := range []string{
		"ENDED UNDER PART  REPLICAS  FIFTH AT  SENT  SENT LATER THAN 3s AFTER IT  SERVED",
		"bad               6         03:04:10  7     1                            0",
		"f                 6         03:04:10  12    0                            6",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}
