package standin

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = silentReplica }

// patientConfig is a configuration whose streaming route has the objective and the timeout of the site's requests of
// least urgency. Their clients wait 20 s for an event: four times the objective.
func patientConfig() string {
	return strings.NewReplacer(`"timeout_ms":15000`, `"timeout_ms":12000`, `"target_latency_ms":1500`, `"target_latency_ms":5000`,
		`"priority":0`, `"priority":1`, `"max_attempts":2`, `"max_attempts":1`).Replace(streamConfig(2))
}

// silentReplica has replicas put streams back in the middle for longer than instances wait. The streams are sent
// just after their instance got SIGHUP.
func silentReplica(w *world) int {
	const (
		streams = 6
		putBack = 10600 * time.Millisecond
		events  = 8
	)
	w.store.Put("op/config", patientConfig())
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for n, zone := range zones {
		w.startReplica(replicaConfig{ID: fmt.Sprintf("i-%08x", 0x5100a7c1+n*0x1000000), Address: freeAddress(), Service: "writer", Zone: zone, Slots: 64, Models: []string{"m1"}, LoadMS: 2000})
	}
	for n, zone := range append(zones, zones[0]) { // one of four gets SIGHUP: a share of 0.25
		w.addInstance(fmt.Sprintf("front-%d", n+1), zone)
	}
	for _, i := range w.instances {
		w.startInstance(i)
	}
	for _, i := range w.instances {
		w.awaitReady(i)
	}
	time.Sleep(5 * time.Second)
	front := w.instances[0]
	w.signal(front, syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	wait := time.Duration(0)
	if w.trouble {
		wait = putBack
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for n := range streams {
		all.Go(func() {
			begun := time.Now()
			a := w.send(front, request{method: "POST", host: "depot.example", path: "/drafts/patient", body: "x", deadline: 12 * time.Second,
				header: map[string]string{"Model": "m1", "Token-Counts": "20,40", "Prompt-Prefix": fmt.Sprintf("%x:20", 100+n), headerEvents: fmt.Sprint(events), headerPauseMS: "50", headerPutBack: fmt.Sprint(wait.Milliseconds())}})
			w.note("stream %s after %.1f s: %v, %d of %d events; run by %v", a.id, time.Since(begun).Seconds(), a, strings.Count(a.body, "id: "), events, w.ranAt(a.id))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200 && a.whole:
				whole++
			case time.Since(begun) < 11900*time.Millisecond: // neither the deadline nor the route's timeout was reached
				cut++
			}
		})
	}
	all.Wait()
	w.note("%d streams are whole, %d are cut before their time is over", whole, cut)
	if cut > 0 {
		w.note("LOST is broken: a request was read and passed on after SIGHUP, and its connection closed without a complete answer")
		return broken
	}
	if whole < streams {
		return noRun
	}
	return held
}
