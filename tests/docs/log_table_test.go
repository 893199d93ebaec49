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

// The headings before and after the table of log lines in OPERATING.md.
const (
	logTableStart = "### Log lines"
	logTableEnd   = "### Reasons of refused requests"
)

// loggedMessages returns the log messages of the programs: the string literals that are the first
// argument of a call to a logger's method or to a notice function.
func loggedMessages(t *testing.T) map[string]bool {
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
			if message, ok := loggedMessage(n); ok {
				all[message] = true
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

// loggedMessage returns the message of a log call. It reports false if n is not a log call or the
// message is not a literal.
func loggedMessage(n ast.Node) (string, bool) {
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
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}

// listedMessages returns the log messages that the table quotes in its first column.
func listedMessages(page string) (out []string) {
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

// TestLogTable checks that the on-call table lists every log message, and that the programs log every
// listed message.
func TestLogTable(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATING.md"))
	if err != nil {
		t.Fatal(err)
	}
	logged, listed := loggedMessages(t), listedMessages(string(page))
	for _, message := range listed {
		if !logged[message] {
			t.Errorf("the table lists %q, which no program logs", message)
		}
	}
	for message := range logged {
		if !slices.Contains(listed, message) {
			t.Errorf("the table does not list the log message %q", message)
		}
	}
	if len(logged) < 10 {
		t.Errorf("found only %d log messages", len(logged))
	}
}
