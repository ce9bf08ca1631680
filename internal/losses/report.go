package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// window is the time covered by one row of the time table: short enough to
	// distinguish one disturbance from the next.
	window = 2 * time.Second
	// barWidth is the number of characters of a bar, which stands for all calls of a
	// window, so that a row fits into 80 columns.
	barWidth = 40
	// topModels is the number of models that are listed.
	topModels = 10
)

// barSymbols are the characters of the outcomes in a window's bar, in their order.
const barSymbols = "#~-x?"

// Report writes the tables of calls by reason, zone, rank, model and time window, and the
// tables of retries, of streams and of parts of prompts.
func (l *Log) Report(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	all := slices.SortedFunc(maps.Values(l.calls), func(a, b *call) int {
		return cmp.Or(a.began.Compare(b.began), cmp.Compare(a.key, b.key))
	})
	fmt.Fprintf(w, "%d calls in %d lines, %s to %s; %d lines are not of an instance's log\n",
		len(all), l.lines, l.first.Format(time.TimeOnly), l.last.Format(time.TimeOnly), l.skipped)
	fmt.Fprintln(w, "\nBY REASON\tCALLS\tSHARE")
	for _, row := range countBy(all, func(c *call) string { return outcomeLabel(c) }) {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\n", row.key, row.total, 100*float64(row.total)/float64(max(1, len(all))))
	}
	writeTable(w, "ZONE", countBy(all, func(c *call) string { return c.zone }))
	writeTable(w, "RANK", countBy(all, rankLabel))
	models := countBy(all, func(c *call) string { return c.model })
	models = slices.DeleteFunc(models, func(r row) bool { return r.key == "" })
	slices.SortStableFunc(models, func(a, b row) int { return cmp.Compare(b.notInTime(), a.notInTime()) })
	writeTable(w, "MODEL, MOST LOST", models[:min(topModels, len(models))])
	l.writeWindows(w, all)
	l.writeRetries(w)
	l.writeStreams(w)
	l.writeParts(w)
	return w.Flush()
}

// outcomeLabel returns a call's outcome and, unless it was in time, its reason.
func outcomeLabel(c *call) string {
	if c.outcome == inTime {
		return c.outcome.String()
	}
	return c.outcome.String() + ": " + c.reason
}

// rankLabel returns a call's rank. The log has no rank of a call that was never sent.
func rankLabel(c *call) string {
	if c.sends == 0 {
		return "never sent"
	}
	return fmt.Sprint(c.rank)
}

// A row counts the calls with one key by outcome.
type row struct {
	key       string
	total     int
	byOutcome [numOutcomes]int
}

// notInTime returns the number of calls that were not answered in time.
func (r row) notInTime() int { return r.total - r.byOutcome[inTime] }

// countBy counts calls by key and returns the rows with the most calls first.
func countBy(all []*call, key func(c *call) string) []row {
	rows := map[string]*row{}
	for _, c := range all {
		k := key(c)
		if rows[k] == nil {
			rows[k] = &row{key: k}
		}
		rows[k].total++
		rows[k].byOutcome[c.outcome]++
	}
	var list []row
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b row) int { return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.key, b.key)) })
	return list
}

// writeTable writes rows with a column for each outcome.
func writeTable(w io.Writer, head string, rows []row) {
	fmt.Fprintf(w, "\nBY %s\tCALLS", head)
	for o := range numOutcomes {
		fmt.Fprintf(w, "\t%s", strings.ToUpper(o.String()))
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d", r.key, r.total)
		for _, n := range r.byOutcome {
			fmt.Fprintf(w, "\t%d", n)
		}
		fmt.Fprintln(w)
	}
}

// writeWindows writes a bar for each time window with the most frequent reason for losses in it.
func (l *Log) writeWindows(w io.Writer, all []*call) {
	fmt.Fprintf(w, "\nBY WINDOW\tCALLS\t%s\tMOST LOST BY\n", legend())
	byWindow := map[int][]*call{}
	for _, c := range all {
		n := int(c.began.Sub(l.first) / window)
		byWindow[n] = append(byWindow[n], c)
	}
	for _, n := range slices.Sorted(maps.Keys(byWindow)) {
		calls := byWindow[n]
		fmt.Fprintf(w, "%v\t%d\t%s\t%s\n", time.Duration(n)*window, len(calls), bar(calls), mainLossReason(calls))
	}
}

// legend explains the characters of a bar.
func legend() string {
	parts := make([]string, numOutcomes)
	for o := range numOutcomes {
		parts[o] = fmt.Sprintf("%c %s", barSymbols[o], o)
	}
	return strings.Join(parts, ", ")
}

// bar returns a bar in which each outcome's length is its share of the calls.
func bar(calls []*call) string {
	var n [numOutcomes]int
	for _, c := range calls {
		n[c.outcome]++
	}
	var b strings.Builder
	drawn, sum := 0, 0
	for o := range numOutcomes {
		sum += n[o]
		to := (sum*barWidth + len(calls)/2) / len(calls)
		b.WriteString(strings.Repeat(string(barSymbols[o]), to-drawn))
		drawn = to
	}
	return b.String()
}

// mainLossReason returns the most frequent reason for which calls were not answered in
// time, with its count.
func mainLossReason(calls []*call) string {
	for _, r := range countBy(calls, outcomeLabel) {
		if r.byOutcome[inTime] == 0 {
			return fmt.Sprintf("%s (%d)", r.key, r.total)
		}
	}
	return ""
}
