package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/birchdrift/birchdrift/core/logevent"
)

// TestDecisionsNameWhatExists checks that every function, constant, log event and test
// named in docs/design/decisions.md exists.
func TestDecisionsNameWhatExists(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(docs, "design", "decisions.md"))
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for name := range definedTests(t) {
		known[name] = true
	}
	for _, e := range logevent.Catalogue {
		known[e.Name] = true
	}
	for _, c := range constants(t) {
		known[c.name] = true
	}
	word := regexp.MustCompile("`([^`]+)`")
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 8 || strings.HasPrefix(cells[1], " ---") || strings.HasPrefix(cells[1], " question") {
			continue
		}
		rows++
		for _, w := range word.FindAllStringSubmatch(cells[2], -1) {
			if !definedIn(t, w[1]) {
				t.Errorf("function %s does not exist", w[1])
			}
		}
		for _, cell := range []string{cells[4], cells[6]} {
			for _, w := range word.FindAllStringSubmatch(cell, -1) {
				if !known[w[1]] {
					t.Errorf("no test, log event or constant is named %s", w[1])
				}
			}
		}
		if first := word.FindStringSubmatch(cells[5]); first == nil || !known[first[1]] {
			t.Errorf("no log event in %q", cells[5])
		}
		if strings.TrimSpace(cells[6]) == "" {
			t.Errorf("no test in %q", line)
		}
	}
	if rows < 20 {
		t.Fatalf("only %d rows", rows)
	}
}

// definedIn reports whether a package of core/ defines the function or method with the
// qualified name package.name.
func definedIn(t *testing.T, qualified string) bool {
	t.Helper()
	pkg, name, ok := strings.Cut(qualified, ".")
	if !ok {
		return false
	}
	declaration := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + regexp.QuoteMeta(name) + `\(`)
	files, err := filepath.Glob(filepath.Join("../../core", pkg, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(f, "_test.go") && declaration.Match(data) {
			return true
		}
	}
	return false
}
