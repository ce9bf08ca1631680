package pages

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
)

var update = flag.Bool("update", false, "write the generated pages")

const docs = "../../docs"

// TestPagesAreCurrent checks that each generated page is equal to its file.
func TestPagesAreCurrent(t *testing.T) {
	for name, text := range All() {
		path := filepath.Join(docs, name)
		if *update {
			if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if string(data) != text {
			t.Errorf("docs/%s differs from the code; run make docs", name)
		}
	}
}

// TestTablesAreInOrder checks that the numbers of codes and events are strictly
// increasing.
func TestTablesAreInOrder(t *testing.T) {
	is := is.New(t)
	for i := 1; i < len(code.Table); i++ {
		is.True(code.Table[i-1].Code < code.Table[i].Code) // codes rise
	}
	for i := 1; i < len(logevent.Catalogue); i++ {
		is.True(logevent.Catalogue[i-1].Number < logevent.Catalogue[i].Number) // events rise
	}
}

// TestProofsNameRealTests checks that every test named in docs/proofs.md exists.
func TestProofsNameRealTests(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(docs, "proofs.md"))
	if err != nil {
		t.Fatal(err)
	}
	defined := definedTests(t)
	names := regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1)
	if len(names) < 30 {
		t.Fatalf("found only %d names of tests", len(names))
	}
	for _, n := range names {
		if !defined[n[1]] {
			t.Errorf("docs/proofs.md names %s, which does not exist", n[1])
		}
	}
}

func definedTests(t *testing.T) map[string]bool {
	t.Helper()
	defined := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z]+)\(`)
	err := filepath.WalkDir("../..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range declaration.FindAllStringSubmatch(string(data), -1) {
			defined[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return defined
}
