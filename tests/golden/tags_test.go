package golden_test

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

// module is the path prefix of all of the project's packages.
const module = "curlewwalk"

// The struct tags of the encodings that use the Go names of fields as keys, unless a tag is set.
const (
	msgpackTag = "msgpack"
	jsonTag    = "json"
)

// encoders are the library functions that encode or decode a value by the keys of its fields.
var encoders = map[string]encoder{
	"encoding/json.Marshal":                               {jsonTag, 0},
	"encoding/json.MarshalIndent":                         {jsonTag, 0},
	"encoding/json.Unmarshal":                             {jsonTag, 1},
	"(*encoding/json.Encoder).Encode":                     {jsonTag, 0},
	"(*encoding/json.Decoder).Decode":                     {jsonTag, 0},
	"github.com/vmihailenco/msgpack/v5.Marshal":           {msgpackTag, 0},
	"github.com/vmihailenco/msgpack/v5.Unmarshal":         {msgpackTag, 1},
	"(*github.com/vmihailenco/msgpack/v5.Encoder).Encode": {msgpackTag, 0},
	"(*github.com/vmihailenco/msgpack/v5.Decoder).Decode": {msgpackTag, 0},
}

// encoder describes a function that encodes or decodes a value.
type encoder struct {
	tag      string // struct tag of the encoding
	argument int    // index of the argument that holds the value
}

// scan finds the types that are encoded anywhere in the project, and their fields without a tag.
type scan struct {
	packages []*packages.Package
	// encoders are the library functions, and the project's functions that pass a parameter of an
	// interface type on to an encoder.
	encoders map[string]encoder
	// visited are the types examined, each with its encoding.
	visited map[string]bool
	// missingTags are the messages about fields without a tag.
	missingTags map[string]bool
}

// TestEveryFieldHasTag checks that every exported field of an encoded struct has a tag for that
// encoding, and that every setting has a tag for its name. A key derived from a Go field name would
// change when the field is renamed.
func TestEveryFieldHasTag(t *testing.T) {
	const mode = packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps
	loaded, err := packages.Load(&packages.Config{Mode: mode, Dir: "../.."}, module+"/...")
	if err != nil {
		t.Fatal(err)
	}
	s := &scan{packages: loaded, encoders: encoders, visited: map[string]bool{}, missingTags: map[string]bool{}}
	for s.findWrappers() {
	}
	s.eachNode(s.visit)
	for message := range s.missingTags {
		t.Error(message)
	}
	if len(s.visited) < minEncodedTypes {
		t.Errorf("found only %d encoded types: the scan misses calls of encoders", len(s.visited))
	}
	t.Logf("%d encoded types", len(s.visited))
}

// minEncodedTypes is a lower bound of the number of encoded types. If the scan finds fewer, it misses
// calls of encoders.
const minEncodedTypes = 100

// eachNode calls visit for each syntax node of the project, with the function declaration that
// encloses the node, or nil.
func (s *scan) eachNode(visit func(p *packages.Package, n ast.Node, within *ast.FuncDecl)) {
	for _, p := range s.packages {
		for _, file := range p.Syntax {
			for _, declaration := range file.Decls {
				function, _ := declaration.(*ast.FuncDecl)
				ast.Inspect(declaration, func(n ast.Node) bool {
					visit(p, n, function)
					return true
				})
			}
		}
	}
}

// called returns the full name of the called function, or "" if it is not a declared function.
func called(info *types.Info, call *ast.CallExpr) string {
	var name *ast.Ident
	switch f := ast.Unparen(call.Fun).(type) {
	case *ast.Ident:
		name = f
	case *ast.SelectorExpr:
		name = f.Sel
	default:
		return ""
	}
	function, ok := info.Uses[name].(*types.Func)
	if !ok {
		return ""
	}
	return function.FullName()
}

// encoded returns the value that a call encodes or decodes, and the struct tag of the encoding. The
// value is nil if the node is not such a call.
func (s *scan) encoded(info *types.Info, n ast.Node) (value ast.Expr, tag string) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return nil, ""
	}
	e, ok := s.encoders[called(info, call)]
	if !ok || len(call.Args) <= e.argument {
		return nil, ""
	}
	return call.Args[e.argument], e.tag
}

// findWrappers adds the functions that pass a parameter on to a known encoder. It reports whether it
// added any.
func (s *scan) findWrappers() (found bool) {
	s.eachNode(func(p *packages.Package, n ast.Node, within *ast.FuncDecl) {
		value, tag := s.encoded(p.TypesInfo, n)
		name, ok := value.(*ast.Ident)
		if !ok || within == nil {
			return
		}
		function := p.TypesInfo.Defs[within.Name].(*types.Func)
		parameters := function.Signature().Params()
		for i := range parameters.Len() {
			parameter := parameters.At(i)
			_, known := s.encoders[function.FullName()]
			if !known && p.TypesInfo.Uses[name] == parameter && types.IsInterface(parameter.Type()) {
				s.encoders[function.FullName()] = encoder{tag, i}
				found = true
			}
		}
	})
	return found
}

// visit examines the types that a syntax node encodes.
func (s *scan) visit(p *packages.Package, n ast.Node, _ *ast.FuncDecl) {
	if value, tag := s.encoded(p.TypesInfo, n); value != nil {
		s.checkExpression(p, value, tag)
	}
	switch n := n.(type) {
	case *ast.FuncDecl:
		if isMessageHandler(p.TypesInfo.Defs[n.Name].(*types.Func).Signature()) {
			s.checkResponses(p, n.Body)
		}
	case *ast.FuncLit:
		if isMessageHandler(p.TypesInfo.TypeOf(n).(*types.Signature)) {
			s.checkResponses(p, n.Body)
		}
	case *ast.CompositeLit:
		if types.TypeString(p.TypesInfo.TypeOf(n), nil) != "map[string]any" {
			return
		}
		for _, element := range n.Elts {
			if pair, ok := element.(*ast.KeyValueExpr); ok {
				s.checkExpression(p, pair.Value, jsonTag)
			}
		}
	case *ast.TypeSpec:
		s.checkDeclaration(p, n)
	}
}

// isMessageHandler reports whether a function has the result types of a message handler. The first
// result of a message handler is sent as the response.
func isMessageHandler(f *types.Signature) bool {
	return f.Results().Len() == 2 && types.IsInterface(f.Results().At(0).Type()) && f.Results().At(1).Type() == types.Typ[types.String]
}

// checkResponses examines the types that a message handler returns.
func (s *scan) checkResponses(p *packages.Package, body *ast.BlockStmt) {
	if body == nil {
		return
	}
	ast.Inspect(body, func(n ast.Node) bool {
		if _, inner := n.(*ast.FuncLit); inner {
			return false
		}
		if r, ok := n.(*ast.ReturnStmt); ok && len(r.Results) == 2 {
			s.checkExpression(p, r.Results[0], msgpackTag)
		}
		return true
	})
}

// checkDeclaration examines a type that has generated JSON code or holds settings.
func (s *scan) checkDeclaration(p *packages.Package, spec *ast.TypeSpec) {
	named, ok := p.TypesInfo.Defs[spec.Name].Type().(*types.Named)
	if !ok {
		return
	}
	if _, generated := ownMethod(p, named, "MarshalEasyJSON"); generated {
		s.checkType(named, jsonTag, p)
	}
	fields, ok := named.Underlying().(*types.Struct)
	if !ok {
		return
	}
	settings := false
	for i := range fields.NumFields() {
		_, has := reflect.StructTag(fields.Tag(i)).Lookup("long")
		settings = settings || has
	}
	for i := range fields.NumFields() {
		if _, has := reflect.StructTag(fields.Tag(i)).Lookup("long"); settings && !has && !fields.Field(i).Embedded() {
			s.reportMissing(p, fields.Field(i).Pos(), named.String(), fields.Field(i).Name(), "long")
		}
	}
}

// reportMissing records that a field has no tag.
func (s *scan) reportMissing(p *packages.Package, at token.Pos, in, field, tag string) {
	s.missingTags[fmt.Sprintf("%s: %s.%s has no %s tag", p.Fset.Position(at), in, field, tag)] = true
}

// checkExpression examines the type of an expression.
func (s *scan) checkExpression(p *packages.Package, value ast.Expr, tag string) {
	if t := p.TypesInfo.TypeOf(value); t != nil {
		s.checkType(t, tag, p)
	}
}

// checkType examines a type and the types of its elements and fields.
func (s *scan) checkType(t types.Type, tag string, p *packages.Package) {
	switch t := t.(type) {
	case *types.Alias:
		s.checkType(types.Unalias(t), tag, p)
	case *types.Pointer:
		s.checkType(t.Elem(), tag, p)
	case *types.Slice:
		s.checkType(t.Elem(), tag, p)
	case *types.Array:
		s.checkType(t.Elem(), tag, p)
	case *types.Map:
		s.checkType(t.Key(), tag, p)
		s.checkType(t.Elem(), tag, p)
	case *types.Named:
		key := tag + " " + t.String()
		if s.visited[key] || t.Obj().Pkg() == nil || !strings.HasPrefix(t.Obj().Pkg().Path(), module) || hasCustomEncoding(p, t, tag) {
			return
		}
		s.visited[key] = true
		if fields, ok := t.Underlying().(*types.Struct); ok {
			s.fields(fields, t.String(), tag, p)
			return
		}
		s.checkType(t.Underlying(), tag, p)
	case *types.Struct:
		s.fields(t, "an unnamed struct", tag, p)
	}
}

// fields examines the tags and types of a struct's fields.
func (s *scan) fields(t *types.Struct, name, tag string, p *packages.Package) {
	for i := range t.NumFields() {
		field := t.Field(i)
		key, has := reflect.StructTag(t.Tag(i)).Lookup(tag)
		if key == "-" || !field.Exported() && !field.Embedded() {
			continue
		}
		// An embedded field has no key: its own fields have keys.
		if !field.Embedded() && (!has || strings.HasPrefix(key, ",")) {
			s.reportMissing(p, field.Pos(), name, field.Name(), tag)
		}
		s.checkType(field.Type(), tag, p)
	}
}

// ownMethod reports whether a type has a method, and whether easyjson generated it.
func ownMethod(p *packages.Package, t *types.Named, name string) (has, generated bool) {
	for i := range t.NumMethods() {
		if m := t.Method(i); m.Name() == name {
			return true, strings.HasSuffix(p.Fset.Position(m.Pos()).Filename, "_easyjson.go")
		}
	}
	return false, false
}

// hasCustomEncoding reports whether a type has hand-written code for an encoding, which does not use
// the names of fields.
func hasCustomEncoding(p *packages.Package, t *types.Named, tag string) bool {
	methods := map[string][]string{
		jsonTag:    {"MarshalJSON", "MarshalEasyJSON", "MarshalText"},
		msgpackTag: {"MarshalMsgpack", "EncodeMsgpack"},
	}
	for _, name := range methods[tag] {
		if has, generated := ownMethod(p, t, name); has && !generated {
			return true
		}
	}
	return false
}
