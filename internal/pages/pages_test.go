package pages

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/instance"
)

var update = flag.Bool("update", false, "write the generated pages")

const docs = "../../docs"

// TestPagesAreCurrent compares each generated page with its file.
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

// TestTablesAreInOrder: numbers rise and none stands twice.
func TestTablesAreInOrder(t *testing.T) {
	is := is.New(t)
	for i := 1; i < len(code.Table); i++ {
		is.True(code.Table[i-1].Code < code.Table[i].Code) // codes rise
	}
	for i := 1; i < len(instance.Catalogue); i++ {
		is.True(instance.Catalogue[i-1].Number < instance.Catalogue[i].Number) // events rise
	}
}
