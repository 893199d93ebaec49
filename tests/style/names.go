// Package style checks the names of the whole tree. The project's first vocabulary
// (word, stamp, seat, keeper, ...) has been replaced by the standard terms of the field;
// Scan finds declared identifiers and log lines that still use, or bring back, one of the
// withdrawn words. What is still left is listed in testdata/leftovers.txt, and the list
// may only get shorter.
package style

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Finding is one use of a withdrawn word.
type Finding struct {
	// Directory is the slash-separated directory of the file, relative to the root of
	// the tree.
	Directory string
	// Name is the identifier, or the text of the log line in quotes.
	Name string
	// Term is the withdrawn word that it contains.
	Term string
	// Position is the file and line.
	Position token.Position
}

// String describes the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s contains the withdrawn word %q", f.Position, f.Name, f.Term)
}

// Scan parses each Go file below root, apart from generated ones, and returns the uses of
// withdrawn words in declared identifiers and in log lines.
func Scan(root string) ([]Finding, error) {
	var findings []Finding
	scanned := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && skipDirectory(entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(path) != ".go":
			return nil
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		found, err := scanFile(filepath.ToSlash(relative), path, nil)
		findings = append(findings, found...)
		scanned++
		return err
	})
	if err == nil && scanned == 0 {
		err = fmt.Errorf("no Go files below %s", root)
	}
	return findings, err
}

// skipDirectory reports whether a directory holds no source of the project.
func skipDirectory(name string) bool {
	return name == "testdata" || len(name) > 1 && name[0] == '.'
}

// scanFile scans one file. name is what findings call it; source may hold its text, as in
// go/parser.ParseFile.
func scanFile(name, path string, source any) ([]Finding, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", name, err)
	}
	if ast.IsGenerated(file) {
		return nil, nil
	}
	s := scanner{directory: filepath.ToSlash(filepath.Dir(name)), file: name, files: files}
	s.declared(file.Name)
	ast.Inspect(file, s.visit)
	return s.findings, nil
}

// scanner collects the findings of one file.
type scanner struct {
	directory, file string
	files           *token.FileSet
	findings        []Finding
}

// visit looks at one node of the syntax tree.
func (s *scanner) visit(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.FuncDecl:
		s.declared(n.Name)
	case *ast.TypeSpec:
		s.declared(n.Name)
	case *ast.ValueSpec:
		s.declared(n.Names...)
		s.logKeys(n)
	case *ast.Field:
		s.declared(n.Names...)
	case *ast.ImportSpec:
		s.declared(n.Name)
	case *ast.LabeledStmt:
		s.declared(n.Label)
	case *ast.AssignStmt:
		if n.Tok == token.DEFINE {
			s.declaredExpressions(n.Lhs...)
		}
	case *ast.RangeStmt:
		if n.Tok == token.DEFINE {
			s.declaredExpressions(n.Key, n.Value)
		}
	case *ast.CallExpr:
		s.logCall(n)
	}
	return true
}

// declared checks identifiers at their declaration; nil ones are passed over.
func (s *scanner) declared(names ...*ast.Ident) {
	for _, name := range names {
		if name == nil || compatibilityNames[name.Name] != "" {
			continue
		}
		if term := withdrawnTerm(splitName(name.Name)); term != "" {
			s.report(name.Pos(), name.Name, term)
		}
	}
}

// declaredExpressions checks those expressions that are identifiers.
func (s *scanner) declaredExpressions(expressions ...ast.Expr) {
	for _, expression := range expressions {
		if name, ok := expression.(*ast.Ident); ok {
			s.declared(name)
		}
	}
}

// logCall checks the message and the attribute keys of a log call, as far as they are
// literals.
func (s *scanner) logCall(call *ast.CallExpr) {
	if isLogCall(call) {
		s.logTexts(call.Args...)
	}
}

// logKeys checks constants for attribute keys, which are named logZone, logRevision, ...
func (s *scanner) logKeys(spec *ast.ValueSpec) {
	for _, name := range spec.Names {
		if parts := splitName(name.Name); len(parts) > 1 && parts[0] == "log" {
			s.logTexts(spec.Values...)
			return
		}
	}
}

// logTexts checks those expressions that are string literals.
func (s *scanner) logTexts(expressions ...ast.Expr) {
	for _, expression := range expressions {
		literal, ok := expression.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			continue
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil || compatibilityNames[text] != "" {
			continue
		}
		if term := withdrawnTerm(splitText(text)); term != "" {
			s.report(literal.Pos(), strconv.Quote(text), term)
		}
	}
}

func (s *scanner) report(position token.Pos, name, term string) {
	at := s.files.Position(position)
	at.Filename = s.file
	s.findings = append(s.findings, Finding{Directory: s.directory, Name: name, Term: term, Position: at})
}

// logMethods are the methods that write a log line.
var logMethods = []string{"Debug", "Info", "Warn", "Error", "DebugContext", "InfoContext", "WarnContext", "ErrorContext", "Log", "LogAttrs", "Notice"}

// loggers are the names that the project gives to loggers, in lower case.
var loggers = []string{"log", "logger", "notices", "slog"}

// isLogCall reports whether a call writes a log line: a method of logMethods on something
// that is named as a logger.
func isLogCall(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(logMethods, method.Sel.Name) {
		return false
	}
	if method.Sel.Name == "Notice" {
		return true
	}
	switch receiver := method.X.(type) {
	case *ast.Ident:
		return slices.Contains(loggers, strings.ToLower(receiver.Name))
	case *ast.SelectorExpr:
		return slices.Contains(loggers, strings.ToLower(receiver.Sel.Name))
	}
	return false
}

// splitName splits an identifier into its words, in lower case: MemberID, member_id and
// memberId are "member", "id".
func splitName(name string) []string {
	var parts []string
	var part []rune
	flush := func() {
		if len(part) > 0 {
			parts = append(parts, strings.ToLower(string(part)))
			part = nil
		}
	}
	runes := []rune(name)
	for i, r := range runes {
		if !unicode.IsLetter(r) {
			flush()
			continue
		}
		afterLower := i > 0 && unicode.IsLower(runes[i-1])
		beforeLower := i+1 < len(runes) && unicode.IsLower(runes[i+1])
		if unicode.IsUpper(r) && (afterLower || beforeLower) {
			flush()
		}
		part = append(part, r)
	}
	flush()
	return parts
}

// splitText splits a text into its words, in lower case.
func splitText(text string) []string {
	return strings.FieldsFunc(strings.ToLower(text), func(r rune) bool { return !unicode.IsLetter(r) })
}

// withdrawnTerm returns the first of parts that is withdrawn, or "".
func withdrawnTerm(parts []string) string {
	for _, part := range parts {
		if slices.Contains(withdrawn, part) || slices.Contains(withdrawn, strings.TrimSuffix(part, "s")) {
			return part
		}
	}
	return ""
}
