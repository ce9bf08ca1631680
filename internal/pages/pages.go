// Package pages generates documentation pages from tables in the code, so that the
// pages cannot differ from the code.
package pages

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/retrybudget/budgettest"
	"github.com/birchdrift/birchdrift/internal/settings"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

const generated = "\nThis page is generated from the code by `make docs`; a test fails when they differ.\n\n"

// All returns every generated page, keyed by its file name under docs.
func All() map[string]string {
	return map[string]string{
		"codes.md":    codesPage(),
		"events.md":   eventsPage(),
		"settings.md": settingsPage(),
		"metrics.md":  metricsPage(),

		filepath.Join("design", "budgets.md"): budgetsPage(),
	}
}

// writeRow writes one row of a Markdown table and escapes vertical bars in cells.
func writeRow(b *strings.Builder, cells ...string) {
	for _, c := range cells {
		fmt.Fprintf(b, "| %s ", strings.ReplaceAll(c, "|", `\|`))
	}
	b.WriteString("|\n")
}

func writeHeader(b *strings.Builder, title string, columns ...string) {
	b.WriteString("# " + title + "\n" + generated)
	writeTableHeader(b, columns...)
}

// writeTableHeader writes the first two lines of a table.
func writeTableHeader(b *strings.Builder, columns ...string) {
	writeRow(b, columns...)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	writeRow(b, rule...)
}

func codesPage() string {
	var b strings.Builder
	writeHeader(&b, "Result codes", "code", "name", "HTTP status", "meaning", "remedy")
	for _, c := range code.Table {
		status := "none: no caller sees it"
		if c.HTTP != 0 {
			status = fmt.Sprint(c.HTTP)
		}
		writeRow(&b, fmt.Sprint(int(c.Code)), c.Name, status, c.Meaning, c.Remedy)
	}
	b.WriteString("\nAn error answer to a caller is JSON: `error.code`, `error.name`, `error.message` and\n" +
		"`error.run`: `not_run` (it certainly did not run), `ran`, or `unknown` (it may have run).\n" +
		"`Retry-After` is set if a retry makes sense.\n")
	return b.String()
}

func eventsPage() string {
	var b strings.Builder
	writeHeader(&b, "Log events", "event", "name", "meaning", "remedy")
	for _, e := range logevent.Catalogue {
		writeRow(&b, fmt.Sprint(int(e.Number)), e.Name, e.Meaning, e.Remedy)
	}
	b.WriteString("\nLogs are JSON lines on standard output; each carries `event`, `instance` and `zone`.\n")
	return b.String()
}

func settingsPage() string {
	var b strings.Builder
	writeHeader(&b, "Process settings of `birchdrift`", "flag", "variable", "default", "allowed", "meaning")
	for _, s := range settings.Table {
		def := "`" + s.Default + "`"
		if s.Default == "" {
			def = "none"
		}
		writeRow(&b, "`--"+s.Name+"`", "`"+s.Env()+"`", def, s.Allowed, s.Meaning)
	}
	b.WriteString("\nAll faults are reported together at the start, with exit status 2. Secrets are best\n" +
		"given as environment variables; they appear in no log and no status.\n")
	return b.String()
}

func metricsPage() string {
	var b strings.Builder
	writeHeader(&b, "Metrics", "metric", "meaning", "what to do")
	for _, r := range telemetry.MetricDocs {
		writeRow(&b, "`"+r.Name+"`", r.Meaning, r.Action)
	}
	b.WriteString("\nMetrics are at `/metrics` on the operations listener, together with those of the process.\n")
	return b.String()
}

// A budgetCase is a kind of fleet for which docs/design/budgets.md adds up the delays.
type budgetCase struct {
	name   string
	bounds bounds.Bounds
	mesh   bool
}

// exchangeInterval is the value of the setting exchange-every in the users' deployments.
const exchangeInterval = 500 * time.Millisecond

var budgetCases = []budgetCase{
	{"8 instances", bounds.Bounds{Leave: 2 * time.Second, Settle: 3 * time.Second}, true},
	{"46 and 370 instances", bounds.Bounds{Leave: 3 * time.Second, Settle: 4 * time.Second}, false},
}

func budgetsPage() string {
	var b strings.Builder
	columns := []string{"part", "what it is"}
	var parts []bounds.Delays
	for _, c := range budgetCases {
		columns = append(columns, c.name)
		parts = append(parts, c.bounds.Delays(bounds.Timing{Mesh: c.mesh, Exchange: exchangeInterval}))
	}
	writeHeader(&b, "Budgets", columns...)
	for i, part := range parts[0].All() {
		cells := []string{part.Name, part.Meaning}
		for _, p := range parts {
			cells = append(cells, p.All()[i].Longest.String())
		}
		writeRow(&b, cells...)
	}
	sum := []string{"**sum**", "from the store's change that a replica is leaving, or the end of its entry, to the last call sent there"}
	bound := []string{"**bound**", "`--leave-bound`"}
	maxSilence := []string{"age of the list", "at which an instance that does not watch reads the store itself"}
	gracePeriod := []string{"entry gone", "from when it was last known to exist until the replica counts as leaving"}
	retryDelay := []string{"after an outage", "longest delay until the store is called again, as part of `--settle-time`"}
	for i, c := range budgetCases {
		sum = append(sum, parts[i].Sum().String())
		bound = append(bound, c.bounds.Leave.String())
		maxSilence = append(maxSilence, c.bounds.MaxStoreSilence().String())
		gracePeriod = append(gracePeriod, c.bounds.VanishedGracePeriod().String())
		retryDelay = append(retryDelay, fmt.Sprintf("%v of %v", c.bounds.MaxRetryDelay(), c.bounds.Settle))
	}
	for _, cells := range [][]string{sum, bound, maxSilence, gracePeriod, retryDelay} {
		writeRow(&b, cells...)
	}
	b.WriteString("\nThe sum takes each part at its longest. `core/bounds` derives the parts from the bound. Waits\n" +
		"that are set and make the sum exceed the bound are refused at the start, with this list; a bound\n" +
		"that is too short for the shortest waits is logged (1008). A configuration arrives by the same\n" +
		"watch; only the bound for leaving replicas is added up so far.\n")
	writeVersionHold(&b)
	writeCrashes(&b)
	writeRetryBudget(&b)
	writeRejections(&b)
	writeConnections(&b)
	return b.String()
}

// writeVersionHold writes the section on versions of replicas' software.
func writeVersionHold(b *strings.Builder) {
	columns := []string{"part", "what it is"}
	rows := [][]string{
		{"age", "of the list of an instance that takes the only version it has seen for that of all streams"},
		{"wait", "by which the list may be older than it looks: a watch whose answer was delayed"},
		{"**sum**", "after which no instance takes another version for the only one"},
		{"**bound**", "from when an instance has heard of a further version until streams begin there"},
	}
	for _, c := range budgetCases {
		columns = append(columns, c.name)
		timing := bounds.Timing{Mesh: c.mesh, Exchange: exchangeInterval}
		age, wait := c.bounds.MaxVersionAge(), c.bounds.Delays(timing).Wait
		for i, d := range []time.Duration{age, wait, age + wait, c.bounds.VersionHold(timing)} {
			rows[i] = append(rows[i], d.String())
		}
	}
	b.WriteString("\n## Versions of replicas' software\n\n")
	writeTableHeader(b, columns...)
	for _, row := range rows {
		writeRow(b, row...)
	}
}

// writeCrashes writes the section on crash reports.
func writeCrashes(b *strings.Builder) {
	columns := []string{"part", "what it is"}
	var cases []bounds.Crashes
	sum := []string{"**sum**", "from the crash that decides to the last call of the requests that are blamed"}
	bound := []string{"**bound**", "`--settle-time`"}
	for _, c := range budgetCases {
		columns = append(columns, c.name)
		crashes := c.bounds.Crashes(bounds.Timing{Mesh: c.mesh, Exchange: exchangeInterval})
		cases = append(cases, crashes)
		sum = append(sum, crashes.Sum().String())
		bound = append(bound, c.bounds.Settle.String())
	}
	b.WriteString("\n## Requests that crash replicas\n\n")
	writeTableHeader(b, columns...)
	for i, part := range cases[0].All() {
		cells := []string{part.Name, part.Meaning}
		for _, c := range cases {
			cells = append(cells, c.All()[i].Longest.String())
		}
		writeRow(b, cells...)
	}
	writeRow(b, sum...)
	writeRow(b, bound...)
}

// A retryCase is a fleet for which docs/design/budgets.md adds up the parts of a retry budget.
type retryCase struct {
	instances int
	slack     float64
}

// retryCases are fleets of the sizes of the table above. The slack is what the users allow
// fleets of their sizes: 40 and two for each instance.
var retryCases = []retryCase{{8, 56}, {46, 132}, {370, 780}}

// userRetryRatio and userRetryWindow are the values of retry-ratio and retry-window in the
// users' deployments.
const (
	userRetryRatio  = 0.2
	userRetryWindow = 10 * time.Second
)

// writeRetryBudget writes the table of the parts of a retry budget.
func writeRetryBudget(b *strings.Builder) {
	b.WriteString("\n## Retries\n\n")
	columns := []string{"part", "what it is"}
	rows := [][]string{
		{"earned", "retries that an instance earns with each call"},
		{"saved", "unused retries that it may keep, for each of its calls within the last window"},
		{"burst", "unused retries that it may keep in addition"},
		{"refill", "retries that it earns in each window without calls"},
		{"**sum of earned and saved**", "retries for each call of the fuller of two windows"},
		{"**bound**", "`--retry-ratio`"},
		{"**sum of burst and refill**", "over all instances, and a third more whose registration has lapsed"},
		{"**bound**", "`--retry-slack`"},
	}
	for _, c := range retryCases {
		limit := retrybudget.Limit{Ratio: userRetryRatio, Slack: c.slack, Window: userRetryWindow}
		parts := limit.Parts(c.instances)
		perCall, fixed := budgettest.Sum(limit, c.instances)
		columns = append(columns, fmt.Sprintf("%d instances", c.instances))
		for i, n := range []float64{parts.Earned, parts.Saved, parts.Burst, parts.Refill, perCall, limit.Ratio, fixed, limit.Slack} {
			rows[i] = append(rows[i], strconv.FormatFloat(n, 'g', 3, 64))
		}
	}
	writeTableHeader(b, columns...)
	for _, row := range rows {
		writeRow(b, row...)
	}
	b.WriteString("\nWithin a window all instances together make at most as many retries as they had saved when it\n" +
		"began, and those that they earn in it. A retry that is lent is charged to the lender. What is left\n" +
		"of the slack is for retries that were charged just before a window and arrive in it.\n" +
		"`core/retrybudget` derives the parts from the budget.\n")
}

// rejectionLimits are the limits for which docs/design/budgets.md adds up rejections.
var rejectionLimits = []int{1, 4, 10}

// plainPlaces is the number of requests that a plain replica of the users works on at a time.
const plainPlaces = 6

// writeRejections writes the section on replicas that can reject few requests.
func writeRejections(b *strings.Builder) {
	columns := []string{"part", "what it is"}
	var engines, plain []bounds.Rejections
	for _, limit := range rejectionLimits {
		columns = append(columns, fmt.Sprintf("%d a second", limit))
		engines = append(engines, bounds.NewRejections(limit, 0))
		plain = append(plain, bounds.NewRejections(limit, plainPlaces))
	}
	b.WriteString("\n## Rejections\n\n")
	writeTableHeader(b, columns...)
	row := func(name, meaning string, of []bounds.Rejections, value func(r bounds.Rejections) string) {
		cells := []string{name, meaning}
		for _, r := range of {
			cells = append(cells, value(r))
		}
		writeRow(b, cells...)
	}
	tokens := func(r bounds.Rejections) string { return strconv.Itoa(r.Tokens) }
	room := func(r bounds.Rejections) string { return strconv.Itoa(r.Room) }
	sum := func(r bounds.Rejections) string { return strconv.Itoa(r.Tokens - r.Room) }
	row("tokens", "requests without an answer at an engine, over all instances", engines, tokens)
	row("**sum**", "most rejections within a second: the tokens of an engine", engines, sum)
	row("tokens", fmt.Sprintf("the same at a plain replica with %d places", plainPlaces), plain, tokens)
	row("room", "of these, requests that the replica does not reject", plain, room)
	row("**sum**", "most rejections within a second: the tokens less the room", plain, sum)
	row("**bound**", "stated by the replicas", engines, func(r bounds.Rejections) string { return strconv.Itoa(r.Limit) })
	row("hold", "how long the token of a rejected request stays in use", engines, func(r bounds.Rejections) string { return r.Hold.String() })
	fmt.Fprintf(b, "\nEach token has one holder, at any size of the fleet. An instance holds none until %v after it was\n"+
		"registered, and until %v after its links are back (`--leave-bound` of %v).\n",
		budgetCases[0].bounds.RejectionSettle(true), budgetCases[0].bounds.RejectionSettle(false), budgetCases[0].bounds.Leave)
}

// writeConnections writes the section on the connections that an instance keeps.
func writeConnections(b *strings.Builder) {
	b.WriteString("\n## Connections whose other end has vanished\n\n")
	writeTableHeader(b, "connection", "idle: first probe", "idle, or awaiting an answer: gives up after", "sent bytes unacknowledged: gives up after")
	row := func(name string, t bounds.ConnectionTimeouts) {
		writeRow(b, name, t.Idle.String(), t.IdleGiveUp().String(), t.Unacked.String())
	}
	row("to replicas (calls, load probes, orders, state queries, relayed attempts)", bounds.DialedTimeouts)
	row("to the platform's store, also a watch that waits", bounds.DialedTimeouts)
	row("to peers (exchanges, orders, permits, relayed attempts)", bounds.DialedTimeouts)
	row("from callers", bounds.AcceptedTimeouts)
	row("from peers", bounds.AcceptedTimeouts)
	row("from operators (metrics, status, readiness)", bounds.AcceptedTimeouts)
	fmt.Fprintf(b, "\nOn Linux, `TCP_USER_TIMEOUT` decides all three; the count of probes does not matter. Connecting takes\n"+
		"at most %v. Most requests have shorter timeouts of their own. Tests measure the times on sockets\n"+
		"whose other end drops what arrives (`TestConnectionsToVanishedUpstreams`,\n"+
		"`TestAcceptedConnectionsOfVanishedCallers`).\n", bounds.DialTimeout)
}
