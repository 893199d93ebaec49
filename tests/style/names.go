// Package style checks names and comments in the whole tree.
//
// The project's first vocabulary (word, stamp, seat, keeper, ...) has been replaced by the
// standard terms of the field. Scan finds declared identifiers and log lines that contain one
// of the withdrawn words. The names that still contain one are listed in
// testdata/leftovers.txt, and the list may only get shorter.
//
// FindOriginMarks finds comments with a mark that says only that a value was measured or chosen.
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
	// Name is the identifier, or the quoted text of the log line.
	Name string
	// Term is the withdrawn word that the name contains.
	Term string
	// Position is the position of the name.
	Position token.Position
}

// String returns a one-line description of the finding.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s contains the withdrawn word %q", f.Position, f.Name, f.Term)
}

// Scan returns the uses of withdrawn words in declared identifiers and log lines of the Go files
// below root. It skips generated files.
func Scan(root string) ([]Finding, error) {
	var findings []Finding
	err := eachGoFile(root, func(name, path string) error {
		found, err := scanFile(name, path, nil)
		findings = append(findings, found...)
		return err
	})
	return findings, err
}

// eachGoFile calls visit for each Go file below root, with its name relative to root, separated by
// slashes, and its path. It returns an error if there are no Go files.
func eachGoFile(root string, visit func(name, path string) error) error {
	visited := 0
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
		visited++
		return visit(filepath.ToSlash(relative), path)
	})
	if err == nil && visited == 0 {
		err = fmt.Errorf("no Go files below %s", root)
	}
	return err
}

// skipDirectory reports whether a directory contains no source code of the project.
func skipDirectory(name string) bool {
	return name == "testdata" || len(name) > 1 && name[0] == '.'
}

// scanFile returns the findings in one file. name is the file name in findings. source may hold the
// text of the file, as in go/parser.ParseFile.
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

// visit checks one node of the syntax tree.
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

// declared checks identifiers at their declaration. It skips nil identifiers.
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

// declaredExpressions checks the expressions that are identifiers.
func (s *scanner) declaredExpressions(expressions ...ast.Expr) {
	for _, expression := range expressions {
		if name, ok := expression.(*ast.Ident); ok {
			s.declared(name)
		}
	}
}

// logCall checks the message and the attribute keys of a log call if they are literals.
func (s *scanner) logCall(call *ast.CallExpr) {
	if isLogCall(call) {
		s.logTexts(call.Args...)
	}
}

// logKeys checks the values of constants for attribute keys. The names of these constants begin with
// "log": logZone, logRevision, ...
func (s *scanner) logKeys(spec *ast.ValueSpec) {
	for _, name := range spec.Names {
		if parts := splitName(name.Name); len(parts) > 1 && parts[0] == "log" {
			s.logTexts(spec.Values...)
			return
		}
	}
}

// logTexts checks the expressions that are string literals.
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

// report adds a finding.
func (s *scanner) report(position token.Pos, name, term string) {
	at := s.files.Position(position)
	at.Filename = s.file
	s.findings = append(s.findings, Finding{Directory: s.directory, Name: name, Term: term, Position: at})
}

// logMethods are the methods that write a log line.
var logMethods = []string{"Debug", "Info", "Warn", "Error", "DebugContext", "InfoContext", "WarnContext", "ErrorContext", "Log", "LogAttrs", "Notice"}

// loggers are the names of loggers in the project, in lower case.
var loggers = []string{"log", "logger", "notices", "slog"}

// isLogCall reports whether a call writes a log line: a call of one of logMethods on a variable or
// field whose name is one of loggers, or any call of a method named Notice.
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

// splitName splits an identifier into words in lower case. MemberID, member_id and memberId are all
// split into "member" and "id".
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

// splitText splits a text into words in lower case.
func splitText(text string) []string {
	return strings.FieldsFunc(strings.ToLower(text), func(r rune) bool { return !unicode.IsLetter(r) })
}

// withdrawnTerm returns the first withdrawn word in parts, or "". A trailing "s" is ignored.
func withdrawnTerm(parts []string) string {
	for _, part := range parts {
		if slices.Contains(withdrawn, part) || slices.Contains(withdrawn, strings.TrimSuffix(part, "s")) {
			return part
		}
	}
	return ""
}
