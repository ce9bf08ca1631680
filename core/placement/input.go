package placement

import (
	"slices"
	"sort"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/pool"
)

// input returns the input of the placement plan for one service's models.
func (p *Placer) input(now clock.Instant, svc config.Service) Input {
	enginePool := svc.Announced.Engine
	in := Input{
		Models:      make(map[string]Model, len(enginePool.Models)),
		Demand:      map[string]Demand{},
		StoreLoads:  p.plannableLoads(),
		MinimumStay: minCopyAge,
		Blind:       now.Since(p.demandSince) < demandWarmUp,
		OnlyAbsent:  p.localOnly,
	}
	if p.localOnly {
		in.StoreLoads = 0 // only the placer counts them
	}
	for _, m := range enginePool.Models {
		in.Models[m.Name] = Model{MB: m.MemoryMB}
	}
	for _, d := range p.AllDemand.Sum(now) {
		if d.Software != "" {
			if p.loadedForVersion(now, d.Name, d.Software) {
				continue
			}
			in.VersionMisses = append(in.VersionMisses, VersionMiss{Model: d.Name, Software: d.Software, Absent: d.Absent})
			continue
		}
		in.Demand[d.Name] = Demand{Work: d.Concurrent, Rate: d.Rate, Absent: d.Absent}
	}
	for _, r := range p.Pool.Serving(svc.Name) {
		if r.Kind == pool.Engine {
			in.Engines = append(in.Engines, p.engine(now, r, enginePool))
		}
	}
	p.markOverLimit(svc.Name, in)
	return in
}

// markOverLimit marks the copies whose calls exceed the rate limits of their engines.
func (p *Placer) markOverLimit(service string, in Input) {
	overLimit := overLimitCopies(in, p.overLimit[service])
	p.overLimit[service] = overLimit
	for _, e := range in.Engines {
		for i, c := range e.Copies {
			e.Copies[i].Uncarried = overLimit[copyKey{e.Name, c.Model}]
		}
	}
}

// engine returns an engine as it will be once the change in progress there is done, so
// that a later plan does not request the same change again.
func (p *Placer) engine(now clock.Instant, r *pool.Replica, enginePool *config.EnginePool) Engine {
	e := Engine{
		Name:     r.Name,
		Zone:     r.Zone,
		Software: r.Announcement().Software,
		FreeMB:   enginePool.MemoryMB,
		Sound:    r.Usable() && !r.Vanished() && !r.Ejected(now) && r.RestLeft(now) < pool.LongRest,
		Open:     p.changes[r.Name] == nil && !now.Before(p.backoffUntil[r.Name]) && p.Asks.OwnerReachable(now, r.Name),
	}
	e.Limit, e.Limited = r.RateLimit(now)
	lastReady := clock.Instant{}
	for item, phase := range r.Items() {
		model, adapter := pool.SplitItem(item)
		m, _ := enginePool.Model(model) // a model that is not configured takes no memory
		if adapter != "" {
			e.FreeMB -= m.AdapterMB
			continue
		}
		e.FreeMB -= m.MemoryMB
		c := Copy{Model: model, Ready: phase == pool.Ready, Leaving: phase == pool.Unloading}
		if since, ok := p.readySince[copyKey{r.Name, item}]; ok {
			c.Age = now.Since(since)
			lastReady = clock.Latest(lastReady, since)
		}
		if phase != pool.Ready {
			e.Open = false
		}
		e.Copies = append(e.Copies, c)
	}
	// A load evicts other weights from the engine's disk and host memory, and the last
	// announcement does not say which. If they were assumed to be cached, they would be
	// loaded from the weight store without being counted.
	if !r.AnnouncedAt().Before(lastReady) {
		a := r.Announcement()
		e.InMemory = setOf(a.InMemory)
		e.OnDisk = setOf(a.OnDisk)
	}
	e = withChange(e, p.changes[r.Name])
	sort.Slice(e.Copies, func(i, j int) bool { return e.Copies[i].Model < e.Copies[j].Model })
	return e
}

// withChange returns the engine as if the change were done.
func withChange(e Engine, c *change) Engine {
	if c == nil {
		return e
	}
	present := false
	for i, existing := range e.Copies {
		present = present || existing.Model == c.Load
		if slices.Contains(c.Drop, existing.Model) {
			e.Copies[i].Leaving = true
		}
	}
	if !present {
		e.Copies = append(e.Copies, Copy{Model: c.Load})
	}
	return e
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}
