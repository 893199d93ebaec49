package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The part of OPERATING.md that lists log lines.
const (
	logTableStart = "### Log lines"
	logTableEnd   = "### Reasons of refused requests"
)

// loggedSentences are the sentences that the programs log: the first arguments, as literals, of
// calls of a logger's methods and of notices.
func loggedSentences(t *testing.T) map[string]bool {
	t.Helper()
	all := map[string]bool{}
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if sentence, ok := loggedSentence(n); ok {
				all[sentence] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// loggedSentence is the sentence of a call that logs one.
func loggedSentence(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error", "Notice", "notice"}, method.Sel.Name) {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	sentence, err := strconv.Unquote(literal.Value)
	return sentence, err == nil
}

// tabledSentences are the sentences that the table of log lines quotes in its first column.
func tabledSentences(page string) (out []string) {
	_, table, _ := strings.Cut(page, logTableStart)
	table, _, _ = strings.Cut(table, logTableEnd)
	for line := range strings.Lines(table) {
		cells := strings.SplitN(line, "|", 3)
		if len(cells) < 3 {
			continue
		}
		for _, match := range quoted.FindAllStringSubmatch(cells[1], -1) {
			out = append(out, match[1])
		}
	}
	return out
}

// TestLogTable holds the on-call table to the log lines, both ways.
func TestLogTable(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATING.md"))
	if err != nil {
		t.Fatal(err)
	}
	logged, tabled := loggedSentences(t), tabledSentences(string(page))
	for _, sentence := range tabled {
		if !logged[sentence] {
			t.Errorf("the table lists %q, which nothing logs", sentence)
		}
	}
	for sentence := range logged {
		if !slices.Contains(tabled, sentence) {
			t.Errorf("%q is logged, and the table does not list it", sentence)
		}
	}
	if len(logged) < 10 {
		t.Errorf("only %d log lines were found", len(logged))
	}
}
