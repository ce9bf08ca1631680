// Package standin holds the stand-ins of the review's scripts: the platform's store, replicas
// and clients. They are built as a test binary, outside the modules of the project.
package standin

import (
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"
)

// limit is the longest time for which a case may run.
const limit = 110 * time.Second

// Cases, by the number of their folder. A case returns whether the rule held.
var cases = map[string]func(*Case) (held bool, err error){}

// Case is one run of a case.
type Case struct {
	Trouble bool   // whether the disruption happens
	Folder  string // temporary
	record  io.Writer
	mu      sync.Mutex
	start   time.Time
}

// Note writes a line to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// TestMain runs the case that REVIEW_CASE names. It exits with 0 if the rule held, with 1 if it was
// broken, and with 2 if the case could not run.
func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	run := cases[name]
	if run == nil {
		fmt.Println("REVIEW_CASE names no case")
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	record, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	go func() {
		time.Sleep(limit)
		fmt.Println("the case took too long")
		closeFleets()
		os.Exit(2)
	}()
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Folder: folder, record: record, start: time.Now()}
	held, err := run(c)
	status := 0
	switch {
	case err != nil:
		c.Note("the case could not run: %v", err)
		status = 2
	case !held:
		c.Note("the rule was broken")
		status = 1
	default:
		c.Note("the rule held")
	}
	closeFleets()
	_ = record.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	os.Exit(status)
}
