// Package losses reports from the instances' logs which calls were late, refused, failed
// or unanswered, when, in which zone, for which model, and why.
//
// The logs are the JSON lines of one or more instances in the order in which they were
// written. Text that a log collector puts before the JSON of a line is ignored. Read
// parses the logs, and Report prints the report.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/retrybudget"
)

// maxLineSize is the largest size of one line of a log, in bytes: far above any that
// instances write.
const maxLineSize = 1 << 20

// A record is one line of a log. Its fields are those of all events that the report uses.
type record struct {
	Time     time.Time       `json:"time"`
	Event    logevent.Number `json:"event"`
	Instance string          `json:"instance"`
	Zone     string          `json:"zone"`

	// Fields of events of calls.
	Call     string    `json:"call"`
	Item     string    `json:"item"`
	For      string    `json:"for"`
	Attempt  int       `json:"attempt"`
	Attempts int       `json:"attempts"`
	Rank     int       `json:"rank"`
	Replica  string    `json:"replica"`
	TargetMS int64     `json:"target_ms"`
	GapMS    int64     `json:"gap_ms"`
	WaitedMS int64     `json:"waited_ms"`
	FirstMS  int64     `json:"first_ms"`
	PauseMS  int64     `json:"pause_ms"`
	Code     code.Code `json:"code"`
	Detail   string    `json:"detail"`
	Service  string    `json:"service"`
	Reason   string    `json:"reason"`

	// Fields of attempts of streams.
	Software  string `json:"software"`
	Resumes   string `json:"resumes"`
	LastEvent int    `json:"last_event"`

	// Fields of attempts and of replicas that ended.
	Parts    []string `json:"parts"`
	Upstream string   `json:"upstream"`

	// Fields of retries.
	Part retrybudget.Part `json:"part"`
	Boot uint64           `json:"boot"`

	// Fields of events of placements and orders.
	Engine string `json:"engine"`
	Load   any    `json:"load"` // model name in a placement; in an order, whether it is a load
	Source string `json:"source"`
	Orphan bool   `json:"orphan"`
}

// A Log holds the calls and placements of the logs that were read.
type Log struct {
	calls          map[string]*call
	missed         []missedCall
	placements     []*placement
	openPlacements map[placementKey]*placement
	orders         map[orderKey][]time.Time
	retries        map[string]*retryLog  // by service
	streams        map[string]*streamLog // by service
	streamAttempts []streamAttempt
	parts          map[string]*partLog // by part
	servedCalls    []string
	placerStarts   []time.Time // when some instance became the placer
	starts         map[string][]time.Time
	first          time.Time
	last           time.Time
	lines          int
	skipped        int // lines that are not of an instance's log
	withoutCallID  int // events of calls that have no call ID
}

// errEmpty is returned if no line is of an instance's log.
var errEmpty = errors.New("no line of an instance's log")

// Read parses logs. It fails if a line is too long or no line is of an instance's log.
func Read(in io.Reader) (*Log, error) {
	l := &Log{
		calls: map[string]*call{}, openPlacements: map[placementKey]*placement{}, orders: map[orderKey][]time.Time{}, starts: map[string][]time.Time{},
		retries: map[string]*retryLog{}, streams: map[string]*streamLog{}, parts: map[string]*partLog{},
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineSize)
	for scanner.Scan() {
		l.addLine(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", l.lines+l.skipped+1, err)
	}
	if l.lines == 0 {
		return nil, fmt.Errorf("%w (%d lines were read)", errEmpty, l.skipped)
	}
	l.finish()
	return l, nil
}

// addLine adds one line to the log. A line that is truncated or of another program is
// counted as skipped.
func (l *Log) addLine(text []byte) {
	var r record
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &r) != nil || r.Event == 0 || r.Instance == "" || r.Time.IsZero() {
		l.skipped++
		return
	}
	l.lines++
	if l.first.IsZero() || r.Time.Before(l.first) {
		l.first = r.Time
	}
	if r.Time.After(l.last) {
		l.last = r.Time
	}
	l.addEvent(r)
}

// addEvent adds one event to the log.
func (l *Log) addEvent(r record) {
	l.addStreamEvent(r)
	l.addPartEvent(r)
	switch r.Event {
	case logevent.CallSent, logevent.RetryCharged, logevent.CallNotRepeated:
		l.addRetryEvent(r)
	}
	switch r.Event {
	case logevent.CallSent, logevent.CallServed, logevent.CallFailed, logevent.CallRetried, logevent.CallWaits:
		l.addCallEvent(r)
	case logevent.Placing:
		if !r.Orphan {
			l.placerStarts = append(l.placerStarts, r.Time)
		}
	case logevent.Placement, logevent.PlacementEnded, logevent.EngineOrder:
		l.addPlacementEvent(r)
	case logevent.Listening:
		l.starts[r.Instance] = append(l.starts[r.Instance], r.Time)
	}
}
