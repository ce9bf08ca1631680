// Package pages provides the documentation pages that are generated from the
// code's own tables, so that page and code cannot differ.
package pages

import (
	"fmt"
	"strings"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/internal/settings"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

const generated = "\nThis page is generated from the code by `make docs`; a test fails when they differ.\n\n"

// All returns every generated page by its file name under docs.
func All() map[string]string {
	return map[string]string{
		"codes.md":    codes(),
		"events.md":   events(),
		"settings.md": processSettings(),
		"metrics.md":  metricRows(),
	}
}

// row writes one row of a table; bars within a cell are escaped.
func row(b *strings.Builder, cells ...string) {
	for _, c := range cells {
		fmt.Fprintf(b, "| %s ", strings.ReplaceAll(c, "|", `\|`))
	}
	b.WriteString("|\n")
}

func header(b *strings.Builder, title string, columns ...string) {
	b.WriteString("# " + title + "\n" + generated)
	row(b, columns...)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	row(b, rule...)
}

func codes() string {
	var b strings.Builder
	header(&b, "Result codes", "code", "name", "HTTP status", "meaning", "remedy")
	for _, c := range code.Table {
		status := "none: no caller sees it"
		if c.HTTP != 0 {
			status = fmt.Sprint(c.HTTP)
		}
		row(&b, fmt.Sprint(int(c.Code)), c.Name, status, c.Meaning, c.Remedy)
	}
	b.WriteString("\nAn error answer to a caller is JSON: `error.code`, `error.name`, `error.message` and\n" +
		"`error.run`: `not_run` (it certainly did not run), `ran`, or `unknown` (it may have run).\n" +
		"`Retry-After` is there where coming back makes sense.\n")
	return b.String()
}

func events() string {
	var b strings.Builder
	header(&b, "Log events", "event", "name", "meaning", "remedy")
	for _, e := range logevent.Catalogue {
		row(&b, fmt.Sprint(int(e.Number)), e.Name, e.Meaning, e.Remedy)
	}
	b.WriteString("\nLogs are JSON lines on standard output; each carries `event`, `instance` and `zone`.\n")
	return b.String()
}

func processSettings() string {
	var b strings.Builder
	header(&b, "Process settings of `birchdrift`", "flag", "variable", "default", "allowed", "meaning")
	for _, s := range settings.Table {
		def := "`" + s.Default + "`"
		if s.Default == "" {
			def = "none"
		}
		row(&b, "`--"+s.Name+"`", "`"+s.Env()+"`", def, s.Allowed, s.Meaning)
	}
	b.WriteString("\nEvery fault is reported at the start, all at once, with status 2. Secrets are best\n" +
		"given as variables; they appear in no log and no status.\n")
	return b.String()
}

func metricRows() string {
	var b strings.Builder
	header(&b, "Metrics", "metric", "meaning", "what to do")
	for _, r := range telemetry.Rows {
		row(&b, "`"+r.Name+"`", r.Meaning, r.Action)
	}
	b.WriteString("\nMetrics are at `/metrics` on the operations listener, with the process's own beside them.\n")
	return b.String()
}
