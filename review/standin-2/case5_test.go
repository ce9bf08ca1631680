package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["5"] = recoverReused
}

// deskConfig is a configuration with a safe route to a plain service.
const deskConfig = `{"version":%d,"routes":[
 {"name":"r-shelf","host":"depot.example","path_prefix":"/shelf/","kind":"safe","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2}],
 "services":[{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// A tally counts the requests that clients sent within a time, and those of them that were served.
type tally struct {
	sent, served int
	by           map[string]int // last answers
}

func (t tally) String() string {
	return fmt.Sprintf("%d of %d served, last answers %v", t.served, t.sent, t.by)
}

// load sends safe requests for a time: n clients, each with one request at a time, which is tried once more at another
// instance, on a new connection.
func (w *world) load(clients int, span time.Duration) tally {
	t := tally{by: map[string]int{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(span)
	for n := range clients {
		all.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				served, last := false, ""
				target := fmt.Sprintf("/shelf/%d", rand.IntN(100000))
				for try := range 2 {
					a := w.send(w.instances[(n+k+try)%len(w.instances)], request{method: "GET", host: "depot.example", path: target, deadline: 2500 * time.Millisecond})
					served = a.status == 200 && a.whole && a.stamp != ""
					last = fmt.Sprint(a.status)
					if a.status == 0 {
						last = "no answer"
					}
					if served {
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
				mu.Lock()
				t.sent++
				t.by[last]++
				if served {
					t.served++
				}
				mu.Unlock()
				time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	return t
}

// recoverReused lets the replicas of a service crash and start again, and kills all instances meanwhile.
func recoverReused(w *world) int {
	const (
		down     = 2 * time.Second         // srv_crash for_s
		killAt   = 1200 * time.Millisecond // after the crash
		dark     = 1100 * time.Millisecond // closing down_s
		recovery = 12 * time.Second        // recovery_s
	)
	w.store.Put("op/config", fmt.Sprintf(deskConfig, 7))
	zones := []string{"hall-a", "hall-b", "hall-c"}
	const clients = 12
	// Each start of a replica has a new id. Here the new ones come before the old ones in the order of keys.
	first := []string{"i-c4100fd3", "i-d53a2be1", "i-f0716c22"}
	again := []string{"i-0a94e17d", "i-3be8d052", "i-71c2f4a9"}
	for n, zone := range zones {
		w.startReplica(replicaConfig{ID: first[n], Address: freeAddress(), Service: "desk", Zone: zone, Slots: 6})
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
	time.Sleep(2 * time.Second)
	before := w.load(clients, 6*time.Second)
	w.note("before: %v", before)
	if before.served*4 < before.sent {
		return noRun
	}
	if w.trouble {
		var load sync.WaitGroup
		load.Go(func() { w.note("meanwhile: %v", w.load(clients, 4*time.Second)) })
		time.Sleep(300 * time.Millisecond)
		former := w.replicas
		for _, r := range former {
			w.crash(r)
		}
		var up sync.WaitGroup
		up.Go(func() {
			time.Sleep(down)
			for n, r := range former {
				c := r.replicaConfig
				c.ID = again[n]
				w.startReplica(c)
			}
		})
		time.Sleep(killAt)
		w.store.Put("op/config", fmt.Sprintf(deskConfig, 9))
		w.note("the configuration changes")
		for _, i := range w.instances {
			w.signal(i, syscall.SIGKILL)
		}
		time.Sleep(dark)
		for _, i := range w.instances {
			w.startInstance(i)
		}
		up.Wait()
		load.Wait()
	}
	for _, i := range w.instances {
		w.awaitReady(i)
	}
	time.Sleep(recovery)
	w.note("entries in the store: %v", w.store.Keys("servers/"))
	after := w.load(clients, 10*time.Second)
	w.note("after the recovery: %v", after)
	if after.served*4 < after.sent {
		w.note("RECOVER is broken: less than a quarter is served")
		return broken
	}
	return held
}
