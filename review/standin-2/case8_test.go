package standin

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = takeUpOfSplit }

// splitConfig has a streaming route that is split between a service with models and one without, with the weights
// and the figures of an example of the platform's.
const splitConfig = `{"version":7,"routes":[
 {"name":"r-drafts","host":"depot.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":12000,"target_latency_ms":800,"priority":1,"traffic_split":[{"service":"writer","weight":90},{"service":"desk","weight":10}],"max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":400}],
 "services":[{"name":"writer","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kv_capacity_tokens":254071,"kv_token_bytes":163840,"weights_mb":220000.0,"adapter_slots":5,"loads_per_s":2.1,
   "models":[{"name":"m1","weights_mb":65100.0,"load_s":2.0,"adapters":0,"adapter_mb":12.0,"warm_s":0.57,"disk_s":1.2}]}},
  {"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// takeUpOfSplit has clients take up streams whose instance was killed, on a split route. The rule is on the
// processes that end by themselves afterwards.
func takeUpOfSplit(w *world) int {
	const (
		fleet   = 10
		streams = 80
		events  = 100
		pauseMS = 60
		tries   = 4 // of a client, with the first
		restart = time.Second
	)
	w.store.Put("op/config", splitConfig)
	zones := []string{"hall-a", "hall-b"}
	for n, zone := range zones {
		w.startReplica(replicaConfig{ID: fmt.Sprintf("i-%08x", 0x5100a7c1+n*0x1000000), Address: freeAddress(), Service: "writer", Zone: zone, Slots: 64, Models: []string{"m1"}, LoadMS: 2000})
		for v := range 2 {
			w.startReplica(replicaConfig{ID: fmt.Sprintf("i-%08x", 0x7100a7c1+n*0x1000000+v), Address: freeAddress(), Service: "desk", Zone: zone, Slots: 40, Version: fmt.Sprintf("v%d", v+1)})
		}
	}
	for n := range fleet {
		w.addInstance(fmt.Sprintf("front-%d", n+1), zones[n%len(zones)])
	}
	var mu sync.Mutex
	killed := map[*exec.Cmd]bool{} // by this test
	ends, machines, over := 0, map[string]bool{}, false
	w.ended = func(cmd *exec.Cmd) {
		mu.Lock()
		defer mu.Unlock()
		for _, i := range w.instances {
			if i.cmd != cmd {
				continue
			}
			if killed[cmd] {
				w.note("%s has ended by the signal", i.name)
			} else {
				w.note("%s ends by itself: %v; %s", i.name, cmd.ProcessState, w.lastPanic(i))
				if cmd.ProcessState.ExitCode() != 1 { // 1: it could not start
					ends++
					machines[i.name] = true
				}
			}
			time.AfterFunc(restart, func() {
				mu.Lock()
				defer mu.Unlock()
				if !over {
					w.startInstance(i)
				}
			})
		}
	}
	for _, i := range w.instances {
		w.startInstance(i)
	}
	for _, i := range w.instances {
		w.awaitReady(i)
	}
	time.Sleep(4 * time.Second)

	front := w.instances[0]
	whole, gone := 0, 0
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			header := map[string]string{"Model": "m1", "Token-Counts": "20,200", "Prompt-Prefix": fmt.Sprintf("%x:20", 100+n), headerEvents: fmt.Sprint(events), headerPauseMS: fmt.Sprint(pauseMS)}
			got, to, end := 0, front, time.Now().Add(12*time.Second)
			for try := range tries {
				first := got == 0
				a := w.send(to, request{method: "POST", host: "depot.example", path: "/drafts/x", body: "x", deadline: time.Until(end), header: header})
				if m := strings.LastIndex(a.body, "\n\n"); m >= 0 {
					at := strings.LastIndex(a.body[:m], "id: ")
					_, _ = fmt.Sscanf(a.body[at:], "id: %d", &got)
				}
				if first && got > 0 {
					header["Resumes"] = a.id
				}
				if try > 0 || !a.whole || a.status != 200 {
					w.note("client %d, try %d, %s at %s, after %q: %v, events up to %d; run by %v", n, try+1, a.id, to.name, header["Last-Event-Id"], a, got, w.ranAt(a.id))
				}
				if a.whole && got == events {
					mu.Lock()
					defer mu.Unlock()
					whole++
					return
				}
				if got > 0 {
					header["Last-Event-Id"] = fmt.Sprint(got)
				}
				time.Sleep(500 * time.Millisecond)
				to = w.instances[1+(n+try)%(fleet-1)]
			}
			mu.Lock()
			defer mu.Unlock()
			gone++
		})
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		mu.Lock()
		killed[front.cmd] = true
		w.signal(front, syscall.SIGKILL)
		mu.Unlock()
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	over = true
	w.note("%d streams are whole, %d clients gave up; processes ended by themselves %d times, at %d of %d instances", whole, gone, ends, len(machines), fleet)
	switch {
	case ends >= 3 && len(machines) >= 2:
		w.note("Fault is broken: processes end by themselves three times, at two machines or more")
		return broken
	case !w.trouble && whole < streams:
		return noRun
	}
	return held
}

// lastPanic returns the reason of the last panic in an instance's log.
func (w *world) lastPanic(i *instance) string {
	data, err := os.ReadFile(filepath.Join(w.dir, i.name+".log"))
	if err != nil {
		return err.Error()
	}
	at := strings.LastIndex(string(data), "panic: ")
	if at < 0 {
		return "no panic in its log, which ends with " + string(data[max(0, len(data)-300):])
	}
	lines := strings.Split(string(data[at:]), "\n")
	var calls []string
	for _, line := range lines {
		if strings.HasPrefix(line, "\t") && len(calls) < 4 {
			calls = append(calls, filepath.Base(strings.Fields(line)[0]))
		}
	}
	return lines[0] + " at " + strings.Join(calls, ", ")
}
