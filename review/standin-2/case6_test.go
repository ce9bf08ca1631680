package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

func init() { cases["6"] = starved }

// starved lets all instances start while the store loses answers: the first write of each instance's record gets
// none and is carried out later. Afterwards models are asked for that stand on no replica.
func starved(w *world) int {
	const (
		late = 1600 * time.Millisecond // platform_lost, late: 1 to 6 s
		span = 4500 * time.Millisecond // platform_lost for_s
		most = 0.35                    // platform_lost x
	)
	w.store.Put("op/config", streamConfig(8))
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for n, zone := range zones {
		w.startReplica(replicaConfig{ID: fmt.Sprintf("i-%08x", 0x5100a7c1+n*0x1000000), Address: freeAddress(), Service: "writer", Zone: zone, Slots: 64, Models: []string{"m1", "m2", "m3"}, LoadMS: 2000})
	}
	for n, zone := range zones {
		w.addInstance(fmt.Sprintf("front-%d", n+1), zone)
	}
	begun := time.Now()
	if w.trouble {
		hit := map[string]bool{}
		w.store.late = func(t txn) time.Duration {
			for _, p := range t.Puts {
				if strings.HasPrefix(p.Key, "birchdrift/instances/") && !hit[p.Key] && time.Since(begun) < span {
					hit[p.Key] = true
					return late
				}
			}
			return 0
		}
	}
	for _, i := range w.instances {
		w.startInstance(i)
	}
	for _, i := range w.instances {
		w.awaitReady(i)
	}
	time.Sleep(span - time.Since(begun))
	writes, lost := w.store.Counts()
	w.note("the store, in the first %v: %d writing calls, %d of them without an answer", span, writes, lost)
	if float64(lost) > most*float64(writes) {
		w.note("that is more than the share %v", most)
		return noRun
	}
	w.note("records of the system: %v", w.store.Keys("birchdrift/"))

	// One request in two is for a model that is there, the others for five that are not.
	asked, served := map[string]int{}, map[string]int{}
	n := 0
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		model := "m1"
		if n%2 == 1 {
			model = fmt.Sprintf("m%d", 4+n/2%5)
		}
		a := w.send(w.instances[n%3], request{method: "POST", host: "depot.example", path: "/drafts/short", body: "x", deadline: 5 * time.Second,
			header: map[string]string{"Model": model, "Token-Counts": "20,20", "Prompt-Prefix": fmt.Sprintf("%x:20", n+1), headerEvents: "3", headerPauseMS: "20"}})
		n++
		asked[model]++
		if a.status == 200 && a.whole {
			served[model]++
		}
	}
	never := 0
	for _, model := range slices.Sorted(maps.Keys(asked)) {
		w.note("%s: %d of %d requests served", model, served[model], asked[model])
		if served[model] == 0 {
			never++
		}
	}
	w.note("records of the system: %v", w.store.Keys("birchdrift/"))
	writes, lost = w.store.Counts()
	w.note("the store, in all: %d writing calls, %d of them without an answer", writes, lost)
	if bound := 1 + 0.1*float64(len(asked)); float64(never) > bound {
		w.note("Starved is broken: %d of %d models are never served, the most is %.1f", never, len(asked), bound)
		return broken
	}
	return held
}
