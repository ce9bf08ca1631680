package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Variables of the environment by which the scripts start this program.
const (
	modeVar    = "REVIEW2_MODE"    // the case to play, or "replica"
	replicaVar = "REVIEW2_REPLICA" // the configuration of a replica
	rootVar    = "REVIEW2_ROOT"    // the root of the repository
	recordVar  = "REVIEW2_RECORD"  // the record to write
	troubleVar = "TROUBLE"         // 0: without the disruption
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

func TestMain(_ *testing.M) {
	mode := os.Getenv(modeVar)
	if mode == "replica" {
		runReplica(os.Getenv(replicaVar))
	}
	play, ok := cases[mode]
	if !ok {
		fmt.Fprintln(os.Stderr, "this program is run by the scripts beside it")
		os.Exit(noRun)
	}
	w := newWorld()
	code := noRun
	func() {
		defer w.close()
		defer func() {
			if p := recover(); p != nil {
				w.note("the case could not run: %v", p)
			}
		}()
		code = play(w)
	}()
	w.note("exit %d (0: the rule held, 1: it was broken, 2: the case could not run)", code)
	os.Exit(code)
}

// A world is one play of a case: the store and the clients in this process, and processes of instances and
// replicas.
type world struct {
	root    string
	dir     string // temporary folder with the settings files
	trouble bool
	started time.Time
	store   *store

	mu        sync.Mutex
	record    *os.File
	processes map[*exec.Cmd]bool
	closed    bool
	ran       map[string][]string // replicas that ran a request, by its id
	lines     map[string]int      // log lines of instances by their names
	instances []*instance
	replicas  []*replicaProcess
	lastID    int
	watched   string // the id of the request that is watched
	waiting   sync.WaitGroup
	ended     func(*exec.Cmd) // called when a process has ended before the play has
}

func newWorld() *world {
	w := &world{
		root: os.Getenv(rootVar), trouble: os.Getenv(troubleVar) != "0", started: time.Now(),
		processes: map[*exec.Cmd]bool{}, ran: map[string][]string{}, lines: map[string]int{},
	}
	record, err := os.Create(os.Getenv(recordVar))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	w.record = record
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	w.store = newStore(w.note)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started, and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	for cmd := range w.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	w.mu.Unlock()
	w.waiting.Wait()
	_ = os.RemoveAll(w.dir)
}

// start starts a process and calls line with each line of its output.
func (w *world) start(cmd *exec.Cmd, line func(string)) {
	out, err := cmd.StdoutPipe()
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	w.processes[cmd] = true
	w.waiting.Add(1)
	go func() {
		defer w.waiting.Done()
		in := bufio.NewScanner(out)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			line(in.Text())
		}
		_ = cmd.Wait()
		w.mu.Lock()
		delete(w.processes, cmd)
		closed := w.closed
		w.mu.Unlock()
		if w.ended != nil && !closed {
			w.ended(cmd)
		}
	}()
}

// freeAddress returns an unused loopback address. Its port is below those that systems usually give to outgoing
// connections, so that none takes it while a process is down.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	panic("no free address")
}

// An instance is a process of the project, with the addresses of its listeners.
type instance struct {
	name, zone               string
	front, control, ready    string
	cmd                      *exec.Cmd
	file                     string
	everStarted, neverServed bool
}

func (w *world) addInstance(name, zone string) *instance {
	i := &instance{name: name, zone: zone, front: freeAddress(), control: freeAddress(), ready: freeAddress(), file: filepath.Join(w.dir, name+".yaml")}
	w.instances = append(w.instances, i)
	return i
}

var gap = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// settings fills the project's template as DEPLOY.md says.
func (w *world) settings(i *instance) string {
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", "settings.yaml"))
	if err != nil {
		panic(err)
	}
	var seeds []string
	for _, other := range w.instances[:min(3, len(w.instances))] {
		seeds = append(seeds, other.control)
	}
	values := map[string]string{
		"node": i.name, "zone": i.zone, "listen.front": i.front, "listen.control": i.control, "listen.ready": i.ready,
		"seeds": strings.Join(seeds, ","), "platform.address": w.store.address, "limits.cpu_share": "0.4", "limits.link_mbps": "1000.0",
		"limits.memory_mb": "284", "bounds.budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "54",
		"bounds.lease_ms": "3000", "bounds.drain_ms": "2000", "bounds.contact_ms": "3000", "bootstrap": fmt.Sprint(!i.everStarted),
	}
	return gap.ReplaceAllStringFunc(string(template), func(g string) string {
		v, ok := values[strings.Trim(g, "{}")]
		if !ok {
			panic("the template has an unknown gap " + g)
		}
		return v
	})
}

// command returns the command of the deploy file's role.
func (w *world) command() []string {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		panic(err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(data)
	if m == nil {
		panic("no command in deploy/system.toml")
	}
	return strings.Fields(string(m[1]))
}

// startInstance starts the process of an instance.
func (w *world) startInstance(i *instance) {
	if err := os.WriteFile(i.file, []byte(w.settings(i)), 0o600); err != nil {
		panic(err)
	}
	i.everStarted = true
	run := w.command()
	i.cmd = exec.Command(filepath.Join(w.root, run[0]), run[1:]...)
	i.cmd.Dir = w.root
	i.cmd.Env = []string{"BIRCHDRIFT_NODE_FILE=" + i.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	logs, err := os.OpenFile(filepath.Join(w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	i.cmd.Stderr = logs
	w.start(i.cmd, func(line string) {
		fmt.Fprintln(logs, line)
		if os.Getenv("REVIEW2_LOGS") != "" {
			w.note("log %s", line)
		}
	})
	w.note("%s started, process %d", i.name, i.cmd.Process.Pid)
}

// signal sends a signal to the process of an instance.
func (w *world) signal(i *instance, s syscall.Signal) {
	if err := i.cmd.Process.Signal(s); err != nil {
		panic(err)
	}
	w.note("%s gets %v", i.name, s)
}

// A replicaProcess is a replica's process and its entry in the store.
type replicaProcess struct {
	replicaConfig
	cmd *exec.Cmd
}

func (c replicaConfig) version() string {
	if c.Version == "" {
		return "v1"
	}
	return c.Version
}

// entry returns the replica's entry in the store. models is nil for one that runs none.
func (r *replicaProcess) entry(models []string) string {
	e := map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.version(), "slots": r.Slots, "state": "ready", "cold_left_ms": 0, "sequence": 1,
	}
	if r.Models != nil {
		list := []map[string]any{}
		for _, m := range models {
			list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
		}
		e["stage"], e["models"] = "unified", list
	}
	data, _ := json.Marshal(e)
	return string(data)
}

// startReplica starts a replica and writes its entry once it listens.
func (w *world) startReplica(c replicaConfig) *replicaProcess {
	r := &replicaProcess{replicaConfig: c}
	config, _ := json.Marshal(c)
	r.cmd = exec.Command(os.Args[0])
	r.cmd.Env = append(os.Environ(), modeVar+"=replica", replicaVar+"="+string(config))
	r.cmd.Stderr = os.Stderr
	listens := make(chan bool, 1)
	w.start(r.cmd, func(text string) {
		var line replicaLine
		if json.Unmarshal([]byte(text), &line) != nil {
			return
		}
		switch line.Event {
		case "listens":
			listens <- true
		case "models":
			w.store.Put("servers/"+c.ID, r.entry(line.Models))
			w.note("replica %s holds %v", c.ID, line.Models)
		case "dropped":
			w.note("replica %s drops request %s, whose connection has closed, %s", c.ID, line.Request, line.Detail)
		case "order":
			w.note("replica %s gets an order: %s", c.ID, line.Detail)
		case "runs":
			w.mu.Lock()
			w.ran[line.Request] = append(w.ran[line.Request], c.ID)
			w.mu.Unlock()
		}
	})
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		panic("a replica does not listen")
	}
	w.store.Put("servers/"+c.ID, r.entry(c.Models))
	w.note("replica %s of %s listens at %s", c.ID, c.Service, c.Address)
	w.replicas = append(w.replicas, r)
	return r
}

// Times of a replica that crashes. The pages let its entry go after three heartbeats of silence.
const entryLife = 3 * time.Second

// crash kills a replica without a word, and removes its entry three heartbeats after the last.
func (w *world) crash(r *replicaProcess) {
	_ = r.cmd.Process.Kill()
	w.note("replica %s crashes", r.ID)
	time.AfterFunc(entryLife, func() {
		w.store.Remove("servers/" + r.ID)
		w.note("the entry of replica %s goes", r.ID)
	})
}

// ranAt returns the replicas that ran a request.
func (w *world) ranAt(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.ran[id]...)
}

func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%016x", w.lastID)
}

// awaitReady waits until an instance is ready, as the platform asks for it.
func (w *world) awaitReady(i *instance) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + i.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.note("%s is ready", i.name)
			return
		}
	}
	panic(i.name + " does not get ready")
}

// An answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0: none came
	stamp  string
	body   string
	whole  bool // the answer ended as HTTP says that it is complete
	err    error
}

// A request is one attempt of a client.
type request struct {
	method, host, path, body string
	header                   map[string]string
	deadline                 time.Duration
	read                     func(part string) // called with each part of the body
	watched                  bool              // its id is that of the world's watched request
}

// send sends one attempt to an instance over a new connection and reads the answer.
func (w *world) send(i *instance, q request) answer {
	a := answer{id: w.nextID()}
	if q.watched {
		w.mu.Lock()
		w.watched = a.id
		w.mu.Unlock()
	}
	req, err := http.NewRequest(q.method, "http://"+i.front+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	req.Host = q.host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: q.deadline}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		a.body += string(buf[:n])
		if n > 0 && q.read != nil {
			q.read(string(buf[:n]))
		}
		if err != nil {
			a.err = err
			a.whole = err.Error() == "EOF"
			return a
		}
	}
}

func (a answer) String() string {
	end := "complete"
	if !a.whole {
		end = fmt.Sprintf("not complete (%v)", a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, %s", a.status, a.stamp, len(a.body), end)
}
