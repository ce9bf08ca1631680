// Package losses says from the instances' logs where service was lost: which calls
// were late, refused or failed, when, in which zone, for which model, and why.
//
// The logs are JSON lines as instances write them, of one instance or of many, in the
// order in which they were written; what a log collector puts before the JSON is
// passed over. Read takes them in, and Report prints what they say.
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
)

// maxLineSize bounds one line of a log: far above any that is written.
const maxLineSize = 1 << 20

// A record is one line of a log: the fields of every event that matters here.
type record struct {
	Time     time.Time       `json:"time"`
	Event    logevent.Number `json:"event"`
	Instance string          `json:"instance"`
	Zone     string          `json:"zone"`

	// Of events of calls.
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

	// Of events of models' changes and orders.
	Engine string `json:"engine"`
	Load   any    `json:"load"` // a model's name, or whether an order loads
	Source string `json:"source"`
	Orphan bool   `json:"orphan"`
}

// A Log is what was read.
type Log struct {
	calls          map[string]*call
	missed         []missedCall
	placements     []*placement
	openPlacements map[placementKey]*placement
	orders         map[orderKey][]time.Time
	placerStarts   []time.Time // when some instance began to place models for all
	starts         map[string][]time.Time
	first          time.Time
	last           time.Time
	lines          int
	skipped        int // lines that are no log line of an instance
	withoutCallID  int // events of calls without a call
}

// errEmpty is returned for a log without one line of an instance.
var errEmpty = errors.New("no line of an instance's log")

// Read takes in logs.
func Read(in io.Reader) (*Log, error) {
	l := &Log{
		calls: map[string]*call{}, openPlacements: map[placementKey]*placement{}, orders: map[orderKey][]time.Time{}, starts: map[string][]time.Time{},
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

// addLine takes in one addLine. One that is cut, or of another program, is counted and
// passed over.
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

// addEvent takes in one event.
func (l *Log) addEvent(r record) {
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
