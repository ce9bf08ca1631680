package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
)

// FetchStatus returns the status of the instance whose operations listener is at address.
func FetchStatus(ctx context.Context, client *http.Client, address string) (instance.Status, error) {
	var st instance.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return st, trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return st, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st, trace.Errorf("%s answered %d", address, resp.StatusCode)
	}
	return st, trace.Wrap(json.NewDecoder(resp.Body).Decode(&st))
}

// PrintStatus writes the statuses of instances to w as text tables.
func PrintStatus(w io.Writer, states []instance.Status) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tZONE\tREADY\tREVISION\tPLANNER\tPLATFORM\tCALLS\tWAITING\tLOADS\tUNLOADS")
	for _, s := range states {
		ready := "yes"
		if !s.Ready {
			ready = "no: " + s.Reason
		}
		planner := s.Planner
		if s.Planning {
			planner = fmt.Sprintf("itself, fence %d", s.Fence)
		}
		platform := "up"
		if s.PlatformDown {
			platform = "down"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", s.Name, s.Zone, ready, s.Revision, planner, platform, s.Calls, s.Waiting, s.Moves.Loads, s.Moves.Unloads)
	}
	if err := t.Flush(); err != nil || len(states) == 0 {
		return trace.Wrap(err)
	}
	fmt.Fprintf(w, "\nupstreams as %s sees them:\n", states[0].Name)
	fmt.Fprintln(t, "UPSTREAM\tZONE\tSTATE\tBUSY\tFIRST TOKEN\tITEMS")
	for _, u := range states[0].Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%.0f ms\t%d\n", u.Name, u.Zone, upstreamState(u), u.Busy, u.FirstTokenMS, len(u.Items))
	}
	return trace.Wrap(t.Flush())
}

func upstreamState(u instance.ReplicaStatus) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Ejected:
		return "ejected"
	default:
		return "live"
	}
}

// ExplainItem writes, as each instance sees it, on which upstreams a model or adapter is
// resident, and what affects whether it is loaded: its demand and the free memory of
// engines.
func ExplainItem(w io.Writer, item string, states []instance.Status) {
	for _, s := range states {
		fmt.Fprintf(w, "as seen by %s (%s):\n", s.Name, s.Zone)
		found := false
		for _, u := range s.Upstreams {
			if phase, ok := u.Items[item]; ok {
				found = true
				fmt.Fprintf(w, "  %s on %s in %s (%s)\n", phase, u.Name, u.Zone, upstreamState(u))
			}
		}
		if !found {
			fmt.Fprintln(w, "  not resident on any upstream")
		}
		explainDemand(w, item, s)
	}
}

func explainDemand(w io.Writer, item string, s instance.Status) {
	for _, d := range s.Demand {
		if d.Item == item {
			fmt.Fprintf(w, "  demand here: %.3f calls per second; %d calls waiting\n", d.Rate, d.Waiting)
		}
	}
	if s.Planning {
		for _, u := range s.Upstreams {
			if u.Zone == s.Zone && len(u.Items) > 0 {
				fmt.Fprintf(w, "  %s has %d MiB free\n", u.Name, u.FreeMiB)
			}
		}
	}
}

// ExplainService writes the latest routing decisions for a service or model.
func ExplainService(w io.Writer, name string, states []instance.Status) {
	for _, s := range states {
		recent := append([]modelcalls.Decision(nil), s.Recent...)
		sort.Slice(recent, func(i, j int) bool { return recent[i].At.Before(recent[j].At) })
		for _, d := range recent {
			if d.Service != name && d.Item != name {
				continue
			}
			fmt.Fprintf(w, "%s call %d at %s: %s, attempt %d, after %.1f ms here; expected queue %.1f + prefill %.1f (%d tokens cached) + network %.1f + slowness %.1f ms\n",
				s.Name, d.Call, d.At.Format("15:04:05.000"), d.Replica, d.Attempt, d.WaitedMS, d.QueueMS, d.Prefill, d.Cached, d.Network, d.Slow)
		}
	}
}
