package pages

import (
	"bytes"
	"cmp"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// A constant is a numeric constant of the code, such as a timeout, limit, weight or
// threshold.
type constant struct {
	pkg     string
	name    string
	value   string
	meaning string
}

// unitPattern matches words that say what a constant counts or measures.
var unitPattern = regexp.MustCompile(`(?i)(second|minute|hour|time|span|wait|byte|KiB|MiB|\bMB\b|bit|share|part|portion|weight|factor|ratio|multiple|times|percent|cost|value|price|bonus|rate|rank|priority|step|count|number|how many|how often|how much|every|most|least|max|min|limit|bound|length|size|width|slices|ranks|tokens?|calls?|requests?|replicas?|engines?|instances?|peers|orders?|attempts?|failures|tries|turns|samples|lines|keys|records|reports|routes|prompts?|models?|entries|events|watch|log|probes?|refusals|adapters|load|sequences|copies|concurrent|mode|port|code)`)

// hasUnit reports whether a constant's type, name or comment states its unit.
func (c constant) hasUnit() bool {
	return strings.Contains(c.value, "time.") || unitPattern.MatchString(c.name) || unitPattern.MatchString(c.meaning)
}

// tuningPattern matches statements of how a value was found, which belong into commits
// and docs/CAPACITY.md.
var tuningPattern = regexp.MustCompile(`(?i)not\s+measured|set\s+in\s+[0-9a-f]{7}|first\s+version|standard\s+error`)

// TestConstantsAreDocumented checks that each numeric constant has a unit, that no comment
// says how its value was found, and that docs/design/constants.md lists all constants.
func TestConstantsAreDocumented(t *testing.T) {
	all := constants(t)
	if len(all) < 150 {
		t.Fatalf("found only %d constants", len(all))
	}
	for _, c := range all {
		if !c.hasUnit() {
			t.Errorf("%s.%s = %s: neither type nor name nor comment states a unit: %q", c.pkg, c.name, c.value, c.meaning)
		}
		if tuningPattern.MatchString(c.meaning) {
			t.Errorf("%s.%s: the comment says how the value was tuned: %q", c.pkg, c.name, c.meaning)
		}
	}
	var b strings.Builder
	writeHeader(&b, "Constants", "package", "constant", "value", "what it is")
	for _, c := range all {
		writeRow(&b, c.pkg, "`"+c.name+"`", "`"+c.value+"`", c.meaning)
	}
	b.WriteString("\nWhere figures come from stands in the commits that set them and in\n" +
		"[CAPACITY.md](../CAPACITY.md). What operators may change is a setting\n" +
		"([settings.md](../settings.md)).\n")
	path := filepath.Join(docs, "design", "constants.md")
	if *update {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(data) != b.String() {
		t.Error("docs/design/constants.md differs from the code; run make docs")
	}
}

// constants returns the numeric constants of the product, sorted by package and name.
func constants(t *testing.T) []constant {
	t.Helper()
	var all []constant
	for _, root := range []string{"core", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join("../..", root), func(path string, d os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "peerpb") {
				return err
			}
			fset := token.NewFileSet()
			f, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			rel, err := filepath.Rel("../..", filepath.Dir(path))
			for _, decl := range f.Decls {
				if g, ok := decl.(*ast.GenDecl); ok && g.Tok == token.CONST {
					all = append(all, constantsOf(fset, filepath.ToSlash(rel), g)...)
				}
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	slices.SortFunc(all, func(a, b constant) int {
		return cmp.Or(cmp.Compare(a.pkg, b.pkg), cmp.Compare(a.name, b.name))
	})
	return all
}

// constantsOf returns the numeric constants of one declaration. Constants with an
// explicit type, such as enumerations, are left out.
func constantsOf(fset *token.FileSet, pkg string, g *ast.GenDecl) []constant {
	var out []constant
	for _, spec := range g.Specs {
		v := spec.(*ast.ValueSpec)
		if v.Type != nil || len(v.Values) != 1 || !isNumeric(v.Values[0]) {
			continue
		}
		var value bytes.Buffer
		if err := printer.Fprint(&value, fset, v.Values[0]); err != nil {
			continue // printing into a buffer does not fail
		}
		parts := []string{v.Doc.Text(), v.Comment.Text()}
		if v.Doc == nil {
			parts = append([]string{g.Doc.Text()}, parts...)
		}
		meaning := strings.Join(strings.Fields(strings.Join(parts, " ")), " ")
		out = append(out, constant{pkg: pkg, name: v.Names[0].Name, value: value.String(), meaning: meaning})
	}
	return out
}

// isNumeric reports whether an expression is a number and not part of an enumeration.
func isNumeric(e ast.Expr) bool {
	number, iota := false, false
	ast.Inspect(e, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && (lit.Kind == token.INT || lit.Kind == token.FLOAT) {
			number = true
		}
		if sel, ok := n.(*ast.SelectorExpr); ok && sel.Sel.Name == "Second" || ok && sel.Sel.Name == "Minute" {
			number = true
		}
		if id, ok := n.(*ast.Ident); ok && id.Name == "iota" {
			iota = true
		}
		return true
	})
	return number && !iota
}
