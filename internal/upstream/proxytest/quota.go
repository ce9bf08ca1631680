package proxytest

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// quotaPeriod is the period of a processor quota.
	quotaPeriod = 50 * time.Millisecond
	// quotaCheck is the time between two checks of the processor time that a process has used.
	quotaCheck = 2 * time.Millisecond
)

// LimitProcessor gives the process pid the given share of a core until it ends or the test does:
// once it has used its share of a period, it is stopped for the rest of it, and for longer if it has used
// more.
func LimitProcessor(t *testing.T, pid int, share float64) {
	t.Helper()
	done, ended := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() {
		close(done)
		<-ended
	})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
			}
			if !runPeriod(pid, share) {
				return
			}
		}
	}()
}

// runPeriod lets a process run for one period, and reports whether it exists.
func runPeriod(pid int, share float64) bool {
	quota := time.Duration(share * float64(quotaPeriod))
	end := time.Now().Add(quotaPeriod)
	before, err := ProcessorTime(pid)
	if err != nil {
		return false
	}
	for time.Now().Before(end) {
		used, err := ProcessorTime(pid)
		if err != nil {
			return false
		}
		if used-before < quota {
			time.Sleep(quotaCheck)
			continue
		}
		if syscall.Kill(pid, syscall.SIGSTOP) != nil {
			return false
		}
		time.Sleep(time.Until(end) + time.Duration(float64(used-before-quota)/share))
		return syscall.Kill(pid, syscall.SIGCONT) == nil
	}
	return true
}

// ProcessorTime returns the processor time that the threads of a process have used.
func ProcessorTime(pid int) (time.Duration, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	if len(tasks) == 0 {
		return 0, os.ErrProcessDone
	}
	var sum time.Duration
	for _, task := range tasks {
		data, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
