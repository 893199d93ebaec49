// Package outernames collects the names that are visible outside a process: fields and kinds of
// messages, keys of stored data, settings, headers, paths, metrics, log attributes, and texts
// that clients and operators read. The list in testdata/OUTER-NAMES is a compatibility contract.
// The test of this package fails if the code no longer has one of the listed names. Names are
// counted by directory: two tags swapped between fields are found by the golden files only.
package outernames

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Name is an outer name: its kind, the directory that declares it, and its text.
type Name struct {
	// Kind is one of the constants below.
	Kind string
	// Directory is the slash-separated directory of the file, relative to the root of the
	// tree.
	Directory string
	// Text is the name, quoted as a Go string literal.
	Text string
}

// String returns the line of the name in the list, without the count.
func (n Name) String() string {
	return n.Kind + "\t" + n.Directory + "\t" + n.Text
}

// The kinds of names.
const (
	messageField = "message field"
	jsonField    = "document field"
	setting      = "setting"
	printedField = "setting's field, printed by --check"
	logAttribute = "log attribute"
	metric       = "metric or its help"
	path         = "path"
	text         = "text for clients, operators or files"
	value        = "value, key or file name"
)

// Count maps each name to the number of its occurrences.
type Count map[Name]int

// sourceDirectories are the directories of the programs' code.
var sourceDirectories = []string{"internal", "cmd", "platform"}

// Collect returns the outer names in the programs' code below root. It skips tests, and generated
// files, which repeat the struct tags from which they are generated.
func Collect(root string) (Count, error) {
	names := Count{}
	for _, directory := range sourceDirectories {
		err := filepath.WalkDir(filepath.Join(root, directory), func(file string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
				return err
			}
			relative, err := filepath.Rel(root, filepath.Dir(file))
			if err != nil {
				return err
			}
			return names.addFile(filepath.ToSlash(relative), file, nil)
		})
		if err != nil {
			return nil, err
		}
	}
	return names, nil
}

// addFile adds the names of one file. source may hold its text, as in go/parser.ParseFile.
func (c Count) addFile(directory, file string, source any) error {
	syntax, err := parser.ParseFile(token.NewFileSet(), file, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse %s: %w", file, err)
	}
	if ast.IsGenerated(syntax) {
		return nil
	}
	v := visitor{names: c, directory: directory, tags: map[*ast.BasicLit]bool{}}
	ast.Inspect(syntax, v.visit)
	return nil
}

// visitor collects the names of one file.
type visitor struct {
	names     Count
	directory string
	// enclosing are the ancestors of the visited node, outermost first.
	enclosing []ast.Node
	// tags are the literals that are struct tags. addField handles them.
	tags map[*ast.BasicLit]bool
}

// visit adds the names of one syntax node.
func (v *visitor) visit(node ast.Node) bool {
	switch n := node.(type) {
	case nil:
		v.enclosing = v.enclosing[:len(v.enclosing)-1]
		return true
	case *ast.ImportSpec:
		return false
	case *ast.Field:
		v.addField(n)
	case *ast.BasicLit:
		v.addLiteral(n)
	}
	v.enclosing = append(v.enclosing, node)
	return true
}

func (v *visitor) add(kind, text string) {
	v.names[Name{Kind: kind, Directory: v.directory, Text: strconv.Quote(text)}]++
}

// tagPairs matches each key-value pair of a struct tag and captures the key and the quoted value.
var tagPairs = regexp.MustCompile(`(\w[\w-]*):("(?:[^"\\]|\\.)*")`)

// addField adds the names in the tag of a field, and the field's name if it is a setting.
func (v *visitor) addField(field *ast.Field) {
	if field.Tag == nil {
		return
	}
	v.tags[field.Tag] = true
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return
	}
	for _, pair := range tagPairs.FindAllStringSubmatch(tag, -1) {
		v.add(tagKind(pair[1]), pair[0])
	}
	if _, isSetting := reflect.StructTag(tag).Lookup("long"); !isSetting {
		return
	}
	for _, name := range field.Names {
		v.add(printedField, name.Name)
	}
}

// tagKind returns the kind of the names in a struct tag with the given key.
func tagKind(key string) string {
	switch key {
	case "msgpack":
		return messageField
	case "json":
		return jsonField
	}
	return setting
}

// addLiteral adds a string literal, unless it is the text of an error or a log message.
func (v *visitor) addLiteral(literal *ast.BasicLit) {
	if literal.Kind != token.STRING || v.tags[literal] {
		return
	}
	content, err := strconv.Unquote(literal.Value)
	if err != nil || content == "" {
		return
	}
	if kind := v.kindOf(content); kind != "" {
		v.add(kind, content)
	}
}

// kindOf returns the kind of a literal, which depends on its content and on the enclosing call. It
// returns "" if the literal is not an outer name.
func (v *visitor) kindOf(content string) string {
	hasBlank := strings.ContainsAny(content, " \n")
	call := v.enclosingCall()
	switch {
	case slices.Contains(errorCalls, call):
		return ""
	case slices.Contains(logCalls, methodOf(call)) && !strings.HasPrefix(call, "process."):
		if hasBlank {
			return ""
		}
		return logAttribute
	case slices.Contains(metricCalls, methodOf(call)):
		return metric
	case strings.HasPrefix(content, "/") && !hasBlank, routePattern.MatchString(content):
		return path
	case hasBlank:
		return text
	}
	return value
}

var (
	// errorCalls create errors. The text of an error may change.
	errorCalls = []string{"errors.New", "eris.New", "eris.Wrap", "eris.Wrapf", "eris.Errorf", "fmt.Errorf"}
	// logCalls write log lines. The message may change, but attribute keys may not.
	logCalls = []string{"Debug", "Info", "Warn", "Error", "Notice", "notice"}
	// metricCalls declare metrics.
	metricCalls = []string{"Gauge", "Counter"}
	// routePattern matches a net/http.ServeMux pattern that has a method.
	routePattern = regexp.MustCompile(`^[A-Z]+ /\S*$`)
)

// enclosingCall returns the name of the function of the innermost call that encloses the visited
// node, as written in the source. It returns "" if there is no such call within the innermost
// function literal.
func (v *visitor) enclosingCall() string {
	for _, node := range slices.Backward(v.enclosing) {
		switch n := node.(type) {
		case *ast.FuncLit:
			return ""
		case *ast.CallExpr:
			return functionName(n.Fun)
		}
	}
	return ""
}

// functionName returns the name of a called function. A method or a function of a package is
// qualified if its receiver or package is an identifier.
func functionName(function ast.Expr) string {
	switch f := function.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		if qualifier, ok := f.X.(*ast.Ident); ok {
			return qualifier.Name + "." + f.Sel.Name
		}
		return "." + f.Sel.Name
	}
	return ""
}

// methodOf returns the part of a qualified name after the last dot.
func methodOf(name string) string {
	return name[strings.LastIndexByte(name, '.')+1:]
}
