// Package fleet starts entry instances and stand-ins as separate processes, for
// the demonstration, the integration tests and the load program. It only launches
// and calls them.
package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/internal/control"
)

// AwaitTimeout is the time limit of every wait for a condition.
const AwaitTimeout = 30 * time.Second

// pollInterval is the time between checks of a condition.
const pollInterval = 10 * time.Millisecond

// Build compiles the programs into dir. module is the root of the repository.
func Build(module, dir string) error {
	for _, b := range []struct{ in, pkg string }{{module, "./cmd/..."}, {filepath.Join(module, "standin"), "./cmd/..."}} {
		cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), b.pkg)
		cmd.Dir = b.in
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("go build %s: %w\n%s", b.pkg, err, out)
		}
	}
	return nil
}

// A Process is a running program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	log    *outputLog
	exited chan struct{}
	status int
}

// outputLog collects a program's output and signals each new line.
type outputLog struct {
	mu      sync.Mutex
	lines   []string
	changed chan struct{}
}

func (l *outputLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
	close(l.changed)
	l.changed = make(chan struct{})
}

// snapshot returns the lines so far and a channel that is closed when the next one is added.
func (l *outputLog) snapshot() ([]string, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.lines...), l.changed
}

// find returns the first line so far that contains text, and a channel that is closed when the next
// line is added.
func (l *outputLog) find(text string) (line string, found bool, changed chan struct{}) {
	lines, changed := l.snapshot()
	for _, line := range lines {
		if strings.Contains(line, text) {
			return line, true, changed
		}
	}
	return "", false, changed
}

// Start starts a program and records its output line by line.
func Start(name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), exited: make(chan struct{})}
	p.log = &outputLog{changed: make(chan struct{})}
	reader, writer := io.Pipe()
	p.cmd.Stdout = writer
	p.cmd.Stderr = writer
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, 4<<20)
		for scanner.Scan() {
			p.log.add(scanner.Text())
		}
	}()
	go func() {
		_ = p.cmd.Wait() // the exit status has the same information
		_ = writer.Close()
		<-recorded
		p.status = p.cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
	return p, nil
}

// AwaitLine waits for a line of output that contains text and returns the first one.
func (p *Process) AwaitLine(text string) (string, error) {
	deadline := time.NewTimer(AwaitTimeout)
	defer deadline.Stop()
	for {
		line, found, changed := p.log.find(text)
		if found {
			return line, nil
		}
		select {
		case <-changed:
		case <-p.exited:
			if line, found, _ := p.log.find(text); found {
				return line, nil
			}
			return "", fmt.Errorf("%s exited with %d:\n%s", p.Name, p.status, p.Log())
		case <-deadline.C:
			return "", fmt.Errorf("%s: no line with %q:\n%s", p.Name, text, p.Log())
		}
	}
}

// Log returns the program's output so far.
func (p *Process) Log() string {
	lines, _ := p.log.snapshot()
	return strings.Join(lines, "\n")
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits for the program's end and returns its exit status.
func (p *Process) Wait() (int, error) {
	select {
	case <-p.exited:
		return p.status, nil
	case <-time.After(AwaitTimeout):
		return 0, fmt.Errorf("%s did not exit in time:\n%s", p.Name, p.Log())
	}
}

// Kill kills the program and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.exited
}

// An Instance is a running entry instance.
type Instance struct {
	*Process
	Zone       string
	Callers    string // address (IP:port) of the listener for callers
	Peers      string // address of the listener for peers
	Operations string // address of the operations listener
}

// An InstanceSpec specifies how to start an entry instance.
type InstanceSpec struct {
	Name     string
	Zone     string
	Platform string   // IP:port
	Extra    []string // further flags
	Program  string   // another program with the flags of birchdrift; "" runs birchdrift
}

// StartInstance starts an entry instance that listens on ports chosen by the kernel.
func StartInstance(bin string, s InstanceSpec) (*Instance, error) {
	args := append([]string{
		"--name", s.Name, "--zone", s.Zone, "--platform", s.Platform,
		"--listen-callers", "127.0.0.1:0", "--listen-peers", "127.0.0.1:0", "--listen-operations", "127.0.0.1:0",
	}, s.Extra...)
	program := s.Program
	if program == "" {
		program = "birchdrift"
	}
	p, err := Start(s.Name, filepath.Join(bin, program), args...)
	if err != nil {
		return nil, err
	}
	line, err := p.AwaitLine(`"msg":"listening"`)
	if err != nil {
		p.Kill()
		return nil, err
	}
	var addresses struct{ Callers, Peers, Operations string }
	if err := json.Unmarshal([]byte(line), &addresses); err != nil {
		p.Kill()
		return nil, err
	}
	return &Instance{Process: p, Zone: s.Zone, Callers: addresses.Callers, Peers: addresses.Peers, Operations: addresses.Operations}, nil
}

// StartStandin starts a stand-in process and returns the process and its address.
func StartStandin(bin, name string, args ...string) (*Process, string, error) {
	p, err := Start(name, filepath.Join(bin, "standin"), args...)
	if err != nil {
		return nil, "", err
	}
	line, err := p.AwaitLine("listening on ")
	if err != nil {
		p.Kill()
		return nil, "", err
	}
	return p, line[strings.LastIndex(line, " ")+1:], nil
}

// Await polls a condition until it holds. It returns an error that names the condition
// (what) after AwaitTimeout.
func Await(what string, holds func() bool) error {
	deadline := time.Now().Add(AwaitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %s: %s", AwaitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Status fetches the instance's state from its operations listener.
func (i *Instance) Status() (instance.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return control.FetchStatus(ctx, http.DefaultClient, i.Operations)
}

// Ready reports whether the instance replies that it is ready.
func (i *Instance) Ready() bool {
	resp, err := http.Get("http://" + i.Operations + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// A Response is the response to a call.
type Response struct {
	Status   int
	Body     string
	Instance string // the instance that served the call, from its header
	Upstream string // the replica that served the call, from its header
	Header   http.Header
	Err      error // set if the body was cut off
}

// Post sends a POST request with a JSON body to the instance's listener for callers.
func (i *Instance) Post(path, body string, header http.Header) (Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.Callers+path, bytes.NewBufferString(body))
	if err != nil {
		return Response{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Response{
		Status: resp.StatusCode, Body: string(data), Header: resp.Header, Err: err,
		Instance: resp.Header.Get("Birchdrift-Instance"), Upstream: resp.Header.Get("Birchdrift-Upstream"),
	}, nil
}

// Root returns the root of the repository: the closest directory with a go.work file, from
// the working directory upwards.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no go.work above %s", dir)
		}
		dir = parent
	}
}
