package engine

import (
	"encoding/json"
	"fmt"
	"log"
	"net/http"
	"net/url"
	"time"

	wire "github.com/birchdrift/birchdrift/internal/own/engine"
	"github.com/birchdrift/birchdrift/standin/fault"
)

// orders handles one order, subject to the faults that concern orders.
func (e *Engine) orders(w http.ResponseWriter, r *http.Request) {
	var o wire.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lost, late := false, time.Duration(0)
	e.Faults.Update(func(f *Faults) {
		switch {
		case f.OrderLost > 0:
			f.OrderLost--
			lost = true
		case f.OrderLate > 0:
			f.OrderLate--
			late = time.Duration(f.LateBy)
		}
	})
	if late > 0 {
		fault.DropConnection(w)
		time.AfterFunc(late, func() { e.execute(o) })
		return
	}
	reply := e.execute(o)
	if lost {
		fault.DropConnection(w)
		return
	}
	writeJSON(w, reply)
}

// execute carries out an order if its fence and sequence allow it.
func (e *Engine) execute(o wire.OrderRequest) wire.OrderReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	result, detail := e.check(o)
	if result == wire.ResultDone {
		result, detail = e.apply(o)
	}
	return wire.OrderReply{Result: result, Detail: detail, State: e.stateLocked()}
}

// check compares the order's fence and sequence with the latest ones, if this engine
// checks fences.
func (e *Engine) check(o wire.OrderRequest) (string, string) {
	if !e.opt.ChecksFence {
		return wire.ResultDone, ""
	}
	if o.Fence < e.fence {
		return wire.ResultFenced, fmt.Sprintf("fence %d, %d was seen", o.Fence, e.fence)
	}
	if o.Fence == e.fence && o.Seq <= e.lastSeq {
		return wire.ResultRefused, fmt.Sprintf("order %d comes after %d", o.Seq, e.lastSeq)
	}
	e.fence = o.Fence
	e.lastSeq = o.Seq
	return wire.ResultDone, ""
}

func (e *Engine) apply(o wire.OrderRequest) (string, string) {
	switch o.Op {
	case "raise":
		return wire.ResultDone, ""
	case "load":
		return e.load(o)
	case "unload":
		return e.unload(o)
	}
	return wire.ResultRefused, "no such operation"
}

func (e *Engine) load(o wire.OrderRequest) (string, string) {
	if e.items[o.Item] != nil {
		return wire.ResultDone, "already there"
	}
	if e.used()+o.MiB > e.opt.MemoryMiB {
		// The order would have broken the owner's most important guarantee, never to
		// overcommit memory, so log it conspicuously.
		e.counts.Overcommits++
		log.Printf("engine %s: OVERCOMMIT: %d MiB used, %d MiB requested, %d MiB capacity", e.opt.Name, e.used(), o.MiB, e.opt.MemoryMiB)
		return wire.ResultRefused, "out of memory"
	}
	it := &item{phase: "loading", base: o.Base, mib: o.MiB}
	e.items[o.Item] = it
	e.change++
	e.counts.Loads++
	e.updatePeak()
	go e.finishLoad(o.Item, it)
	return wire.ResultDone, ""
}

// finishLoad waits for the load time of an item and then marks it ready.
func (e *Engine) finishLoad(name string, it *item) {
	var d time.Duration
	if e.opt.MiBPerSecond > 0 {
		d = time.Duration(float64(it.mib) / float64(e.opt.MiBPerSecond) * float64(time.Second))
	}
	e.fetch(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.items[name] == it && it.phase == "loading" {
		it.phase = "ready"
		e.change++
	}
}

// fetch waits until the weight store has served a load of duration d. Without a weight
// store, or if the call to it fails, it waits for d itself.
func (e *Engine) fetch(d time.Duration) {
	if e.opt.WeightStore != "" {
		target := "http://" + e.opt.WeightStore + "/weights/load?time=" + url.QueryEscape(d.String())
		resp, err := http.Post(target, "", nil)
		if err == nil {
			_ = resp.Body.Close()
			return
		}
	}
	select {
	case <-time.After(d):
	case <-e.closed:
	}
}

func (e *Engine) unload(o wire.OrderRequest) (string, string) {
	it := e.items[o.Item]
	if it == nil {
		return wire.ResultDone, "not there"
	}
	for name, other := range e.items {
		if other.base == o.Item && other.phase != "unloading" {
			return wire.ResultRefused, fmt.Sprintf("adapter %q is on it", name)
		}
	}
	if it.phase == "unloading" {
		return wire.ResultDone, ""
	}
	it.phase = "unloading"
	e.change++
	e.counts.Unloads++
	go e.drain(o.Item, it)
	return wire.ResultDone, ""
}

// drainPollInterval is the time between checks of a draining item's sequences.
const drainPollInterval = 10 * time.Millisecond

// drain removes an item once its last sequence has ended and no adapter uses it.
func (e *Engine) drain(name string, it *item) {
	for {
		e.mu.Lock()
		free := it.refs <= 0
		for _, other := range e.items {
			free = free && other.base != name
		}
		if free {
			if e.items[name] == it {
				delete(e.items, name)
				e.change++
			}
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		select {
		case <-time.After(drainPollInterval):
		case <-e.closed:
			return
		}
	}
}
