package standin

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(w *world) int{
	"4": truncatedStreams,
}

// streamConfig returns a configuration with a streaming route to a service that runs models m1, m2 and so on.
func streamConfig(models int) string {
	var list []string
	for n := range models {
		list = append(list, fmt.Sprintf(`{"name":"m%d","weights_mb":65100.0,"load_s":2.0,"adapters":0,"adapter_mb":12.0,"warm_s":0.57,"disk_s":1.2}`, n+1))
	}
	return `{"version":7,"routes":[
 {"name":"r-drafts","host":"depot.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1500,"priority":0,"service":"writer","max_attempts":2,"sticky":true,"resumable":false,"target_gap_ms":400}],
 "services":[{"name":"writer","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kv_capacity_tokens":254071,"kv_token_bytes":163840,"weights_mb":220000.0,"adapter_slots":5,"loads_per_s":2.1,
   "models":[` + strings.Join(list, ",") + `]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
}

// The stream that is watched: 20 events, one each 300 ms.
const (
	streamEvents = 20
	streamPause  = 300
)

// truncatedStreams stops an instance while it passes on a stream without length and chunks. The replica
// crashes and starts again at its address before the instance goes on.
func truncatedStreams(w *world) int {
	const (
		freeze  = 3500 * time.Millisecond // node_freeze for_s
		down    = 2 * time.Second         // srv_crash for_s
		crashAt = 400 * time.Millisecond  // after the instance has stopped
	)
	w.store.Put("op/config", streamConfig(2))
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for n, zone := range append(zones, zones[0]) { // one of four crashes: a share of 0.25
		w.startReplica(replicaConfig{ID: fmt.Sprintf("i-%08x", 0x5100a7c1+n*0x1000000), Address: freeAddress(), Service: "writer", Zone: zone, Slots: 64, Models: []string{"m1"}, LoadMS: 2000})
	}
	for n, zone := range zones {
		w.addInstance(fmt.Sprintf("front-%d", n+1), zone)
	}
	for _, i := range w.instances {
		w.startInstance(i)
	}
	for _, i := range w.instances {
		w.awaitReady(i)
	}
	time.Sleep(5 * time.Second)

	// Other clients' requests: short streams with chunks, so that the answers without a length stay below
	// the share that the pages have.
	var others sync.WaitGroup
	stop := make(chan bool)
	var mu sync.Mutex
	served, all := 0, 0
	for n := range w.instances[1:] {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := w.send(w.instances[1+n], request{method: "POST", host: "depot.example", path: "/drafts/short", body: "x", deadline: 5 * time.Second,
					header: map[string]string{"Model": "m1", "Token-Counts": "20,20", "Prompt-Prefix": "1a:20", headerEvents: "3", headerPauseMS: "20"}})
				mu.Lock()
				all++
				if a.status == 200 && a.whole {
					served++
				}
				mu.Unlock()
			}
		})
	}

	front := w.instances[0]
	var seen strings.Builder
	third := make(chan bool, 1)
	result := make(chan answer, 1)
	go func() {
		result <- w.send(front, request{
			watched: true, method: "POST", host: "depot.example", path: "/drafts/long", body: "a manifest", deadline: 15 * time.Second,
			header: map[string]string{"Model": "m1", "Token-Counts": "20,100", "Prompt-Prefix": "2b:20", headerEvents: fmt.Sprint(streamEvents), headerPauseMS: fmt.Sprint(streamPause), headerUnframed: "1"},
			read: func(part string) {
				seen.WriteString(part)
				if strings.Contains(seen.String(), "id: 3\n") {
					select {
					case third <- true:
					default:
					}
				}
			},
		})
	}()
	select {
	case <-third:
	case a := <-result:
		w.note("the stream ended before its third event: %v", a)
		return noRun
	case <-time.After(5 * time.Second):
		return noRun
	}
	w.note("the client has the third event of %d", streamEvents)
	if w.trouble {
		w.signal(front, syscall.SIGSTOP)
		time.Sleep(crashAt)
		var hit *replicaProcess
		for _, r := range w.replicas {
			if strings.Contains(strings.Join(w.ranAt(w.longStream()), " "), r.ID) {
				hit = r
			}
		}
		if hit == nil {
			w.note("no replica runs the stream")
			return noRun
		}
		w.crash(hit)
		time.Sleep(down)
		again := hit.replicaConfig
		again.ID = "i-9e" + hit.ID[4:]
		w.startReplica(again)
		time.Sleep(freeze - crashAt - down)
		w.signal(front, syscall.SIGCONT)
	}
	var a answer
	select {
	case a = <-result:
	case <-time.After(20 * time.Second):
		w.note("the stream does not end")
		return noRun
	}
	close(stop)
	others.Wait()
	got := strings.Count(a.body, "id: ")
	w.note("the client's stream: %v; it has %d of %d events; run by %v", a, got, streamEvents, w.ranAt(a.id))
	w.note("other requests: %d of %d served; one answer in %d had no length", served, all, all+1)
	if a.status == 200 && a.whole && got < streamEvents {
		w.note("ORDER is broken: the stream ends as complete before its last piece")
		return broken
	}
	if !w.trouble && got != streamEvents {
		w.note("without the disruption the stream should be whole")
		return noRun
	}
	return held
}

// longStream returns the id of the long stream's request.
func (w *world) longStream() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watched
}
