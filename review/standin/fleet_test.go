package standin

import (
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
	"time"
)

// Instance is one process of the system under review.
type Instance struct {
	Name, Zone, Front, Control, Ready string
	folder                            string
	cmd                               *exec.Cmd
	ended                             chan struct{}
}

// Fleet starts the system as the deploy file says: the words of `run`, with the settings
// template filled in.
type Fleet struct {
	store     string
	folder    string
	run       []string
	template  string
	Instances []*Instance
}

// Ports of the instances are taken below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 30000
)

var usedPorts = map[int]bool{}

// freeAddress returns a loopback address whose port is free now and was not returned before.
func freeAddress() (string, error) {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		usedPorts[port] = true
		return l.Addr().String(), l.Close()
	}
	return "", fmt.Errorf("no free port")
}

var deployValue = regexp.MustCompile(`(?m)^(run|template) = "([^"]*)"`)

// NewFleet reads the deploy file; the working directory is the repository's root.
func NewFleet(store, folder string, zones []string) (*Fleet, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	f := &Fleet{store: store, folder: folder}
	for _, m := range deployValue.FindAllStringSubmatch(string(deploy), -1) {
		switch m[1] {
		case "run":
			f.run = strings.Fields(m[2])
		case "template":
			data, err := os.ReadFile(m[2])
			if err != nil {
				return nil, err
			}
			f.template = string(data)
		}
	}
	if len(f.run) == 0 || f.template == "" {
		return nil, fmt.Errorf("the deploy file names no program or no template")
	}
	for i, zone := range zones {
		n := &Instance{Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone}
		for _, address := range []*string{&n.Front, &n.Control, &n.Ready} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		f.Instances = append(f.Instances, n)
	}
	fleets.Lock()
	defer fleets.Unlock()
	fleets.all = append(fleets.all, f)
	return f, nil
}

var gap = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// settings fills the template for one instance, with the bounds of the small site.
func (f *Fleet) settings(i *Instance, first bool) string {
	var seeds []string
	for _, o := range f.Instances[:min(3, len(f.Instances))] {
		seeds = append(seeds, o.Control)
	}
	values := map[string]string{
		"node": i.Name, "zone": i.Zone, "listen.front": i.Front, "listen.control": i.Control, "listen.ready": i.Ready,
		"seeds": strings.Join(seeds, ","), "platform.address": f.store, "limits.cpu_share": "0.4", "limits.memory_mb": "284",
		"bounds.budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "56", "bounds.lease_ms": "3000",
		"bounds.drain_ms": "2000", "bounds.contact_ms": "3000", "bootstrap": fmt.Sprint(first),
	}
	return gap.ReplaceAllStringFunc(f.template, func(g string) string { return values[g[2:len(g)-2]] })
}

// Start starts one instance; first is true only at the first start of the whole system.
func (f *Fleet) Start(i *Instance, first bool) error {
	i.folder = filepath.Join(f.folder, i.Name)
	if err := os.MkdirAll(i.folder, 0o755); err != nil {
		return err
	}
	file := filepath.Join(i.folder, "local.yaml")
	if err := os.WriteFile(file, []byte(f.settings(i, first)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.run[0], f.run[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BIRCHDRIFT_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.ended = cmd, make(chan struct{})
	go func(done chan struct{}) { _ = cmd.Wait(); close(done) }(i.ended)
	return nil
}

// StartAll starts every instance and waits until all are ready.
func (f *Fleet) StartAll() error {
	for _, i := range f.Instances {
		if err := f.Start(i, true); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if !i.AwaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready", i.Name)
		}
	}
	return nil
}

// IsReady reports whether the instance answers the platform's question with 200.
func (i *Instance) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready.
func (i *Instance) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.IsReady() {
			return true
		}
	}
	return false
}

// Running reports whether the instance's process has not ended.
func (i *Instance) Running() bool {
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the instance's process.
func (i *Instance) Signal(s os.Signal) { _ = i.cmd.Process.Signal(s) }

// Log returns what the instance wrote.
func (i *Instance) Log() string {
	data, _ := os.ReadFile(filepath.Join(i.folder, "log"))
	return string(data)
}

// Close ends every process.
func (f *Fleet) Close() {
	for _, i := range f.Instances {
		if i.cmd != nil && i.Running() {
			_ = i.cmd.Process.Kill()
			<-i.ended
		}
	}
}

// fleets are all fleets of the case.
var fleets struct {
	sync.Mutex
	all []*Fleet
}

// closeFleets ends every process of the case.
func closeFleets() {
	fleets.Lock()
	defer fleets.Unlock()
	for _, f := range fleets.all {
		f.Close()
	}
}
