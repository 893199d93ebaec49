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

// retryingClients are the identifiers of net/http that send requests. They retry some requests
// automatically.
var retryingClients = []string{"Client", "Transport", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"}

// TestNoHiddenRetries checks that only the planner, which only reads, uses net/http's client.
// Elsewhere net/http could silently retry requests that must not be retried.
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
			if !ok || !slices.Contains(retryingClients, s.Sel.Name) {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "http" {
				found++
				if filepath.ToSlash(rel) != "cmd/planner/snapshot.go" {
					t.Errorf("%s uses http.%s, which may retry requests", rel, s.Sel.Name)
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
		t.Error("the planner's use of net/http was not found, so the check finds nothing")
	}
}
