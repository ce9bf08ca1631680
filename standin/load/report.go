package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Targets are those of the design.
const (
	TargetFirst   = 400 * time.Millisecond
	TargetBetween = 75 * time.Millisecond
)

// A Report is what one run came to.
type Report struct {
	Name          string      `json:"name"`
	Case          Case        `json:"case"`
	Calls         int         `json:"calls"`
	Attained      float64     `json:"attained"`        // share of calls
	PerAcc        float64     `json:"per_accelerator"` // attained calls a second for each accelerator
	Ceiling       float64     `json:"ceiling"`         // share that a plan which knows the future could attain at most
	Loads         int         `json:"loads"`
	Unloads       int         `json:"unloads"`
	Whole         int         `json:"whole"`
	Late          int         `json:"late"` // whole, but later than its target
	Refused       map[int]int `json:"refused"`
	Broken        int         `json:"broken"`
	Overcommits   int         `json:"overcommits"`
	FirstP50MS    float64     `json:"first_p50_ms"`
	FirstP95MS    float64     `json:"first_p95_ms"`
	FirstP99MS    float64     `json:"first_p99_ms"`
	BySecond      []float64   `json:"by_second"` // share attained, by the second in which calls were due
	PlatformCalls float64     `json:"platform_calls_per_second"`
}

const histogramMax = int64(10 * time.Minute / time.Microsecond)

// Summarise counts the results of a run over so many accelerators.
func Summarise(name string, w Workload, results []Result, accelerators int) Report {
	r := Report{Name: name, Case: w.Case, Calls: len(results), Refused: map[int]int{}}
	first := hdrhistogram.New(1, histogramMax, 3)
	seconds := int(w.Time.Seconds()) + 1
	attained := make([]int, seconds)
	due := make([]int, seconds)
	total := 0
	for _, x := range results {
		at := int(x.Call.Due.Seconds())
		due[at]++
		switch {
		case x.Attained(TargetFirst, TargetBetween):
			total++
			attained[at]++
			r.Whole++
		case x.Whole:
			r.Whole++
			r.Late++
		case x.Code != 0:
			r.Refused[x.Code]++
		default:
			r.Broken++
		}
		if x.First > 0 {
			_ = first.RecordValue(min(int64(x.First/time.Microsecond), histogramMax)) // in range by the min
		}
	}
	if len(results) > 0 {
		r.Attained = float64(total) / float64(len(results))
	}
	r.PerAcc = float64(total) / w.Time.Seconds() / float64(accelerators)
	r.FirstP50MS = float64(first.ValueAtQuantile(50)) / 1000
	r.FirstP95MS = float64(first.ValueAtQuantile(95)) / 1000
	r.FirstP99MS = float64(first.ValueAtQuantile(99)) / 1000
	for i := range due {
		if due[i] > 0 {
			r.BySecond = append(r.BySecond, float64(attained[i])/float64(due[i]))
		}
	}
	return r
}

// Ceiling returns the share of calls that a plan could attain at most which
// knows the future, moves in no time and never queues: in each window the
// models that are asked for most are resident, as many as fit.
func Ceiling(calls []Call, modelOf func(service int) int, fit int, window time.Duration) float64 {
	byWindow := map[int]map[int]int{}
	for _, c := range calls {
		k := int(c.Due / window)
		if byWindow[k] == nil {
			byWindow[k] = map[int]int{}
		}
		byWindow[k][modelOf(c.Service)]++
	}
	served := 0
	for _, counts := range byWindow {
		var list []int
		for _, n := range counts {
			list = append(list, n)
		}
		sort.Sort(sort.Reverse(sort.IntSlice(list)))
		for i := 0; i < min(fit, len(list)); i++ {
			served += list[i]
		}
	}
	return float64(served) / float64(max(1, len(calls)))
}

// Text writes reports as a table.
func Text(w io.Writer, reports []Report) {
	fmt.Fprintln(w, "| case | system | attained | per accelerator | ceiling | loads | unloads | late | refused | broken | first token p50 / p95 / p99 ms | overcommits |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range reports {
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		fmt.Fprintf(w, "| %s | %s | %.3f | %.3f | %.3f | %d | %d | %d | %d | %d | %.0f / %.0f / %.0f | %d |\n",
			r.Case, r.Name, r.Attained, r.PerAcc, r.Ceiling, r.Loads, r.Unloads, r.Late, refused, r.Broken,
			r.FirstP50MS, r.FirstP95MS, r.FirstP99MS, r.Overcommits)
	}
}

// Sizes of the plot.
const (
	plotWidth  = 720
	plotHeight = 240
	plotMargin = 40
)

var plotColours = []string{"#1b6ca8", "#c8553d", "#588157", "#8d6a9f", "#b08900", "#444444"}

// SVG writes one plot: the share attained by second, a line for each report.
func SVG(w io.Writer, title string, reports []Report) {
	fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth+2*plotMargin, plotHeight+3*plotMargin)
	fmt.Fprintf(w, `<text x="%d" y="20">%s: share of calls attained, by second</text>`+"\n", plotMargin, title)
	for _, y := range []float64{0, 0.5, 1} {
		at := plotMargin + plotHeight*(1-y)
		fmt.Fprintf(w, `<line x1="%d" x2="%d" y1="%.0f" y2="%.0f" stroke="#ddd"/><text x="8" y="%.0f">%.1f</text>`+"\n",
			plotMargin, plotMargin+plotWidth, at, at, at+4, y)
	}
	for i, r := range reports {
		colour := plotColours[i%len(plotColours)]
		var points []string
		for x, v := range smooth(r.BySecond) {
			points = append(points, fmt.Sprintf("%.1f,%.1f", plotMargin+float64(x)*plotWidth/float64(max(1, len(r.BySecond)-1)), plotMargin+plotHeight*(1-v)))
		}
		fmt.Fprintf(w, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", colour, strings.Join(points, " "))
		fmt.Fprintf(w, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+i*110, plotHeight+2*plotMargin+10, colour, r.Name)
	}
	fmt.Fprintln(w, "</svg>")
}

// smooth averages each second with its neighbours.
func smooth(v []float64) []float64 {
	out := make([]float64, len(v))
	for i := range v {
		sum, n := 0.0, 0
		for j := max(0, i-2); j <= min(len(v)-1, i+2); j++ {
			sum += v[j]
			n++
		}
		out[i] = sum / float64(n)
	}
	return out
}
