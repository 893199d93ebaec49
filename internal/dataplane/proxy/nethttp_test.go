package proxy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// repeatingClients are what of net/http sends requests: it repeats some of them by itself.
var repeatingClients = []string{"Client", "Transport", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"}

// The product uses net/http's client only in the planner, which only reads: elsewhere, requests
// that must not be repeated would be, unnoticed.
func TestNoHiddenRetries(t *testing.T) {
	found := 0
	err := filepath.WalkDir("../../..", func(path string, d fs.DirEntry, err error) error {
		rel, _ := filepath.Rel("../../..", path)
		switch {
		case err != nil:
			return err
		case d.IsDir() && (rel == "tests" || strings.HasPrefix(d.Name(), ".") && rel != "."):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok || !slices.Contains(repeatingClients, s.Sel.Name) {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "http" {
				found++
				if filepath.ToSlash(rel) != "cmd/planner/snapshot.go" {
					t.Errorf("%s uses http.%s", rel, s.Sel.Name)
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if found == 0 {
		t.Error("the planner's use was not found: the check sees nothing")
	}
}
