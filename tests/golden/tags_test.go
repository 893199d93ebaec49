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

// module is the path that all of the project's packages begin with.
const module = "curlewwalk"

// The encodings whose keys are names of fields, unless a tag says otherwise.
const (
	asMsgpack = "msgpack"
	asJSON    = "json"
)

// encoders are the libraries' functions that read or write a value by the names of its
// fields: the encoding, and which argument is the value.
var encoders = map[string]encoder{
	"encoding/json.Marshal":                               {asJSON, 0},
	"encoding/json.MarshalIndent":                         {asJSON, 0},
	"encoding/json.Unmarshal":                             {asJSON, 1},
	"(*encoding/json.Encoder).Encode":                     {asJSON, 0},
	"(*encoding/json.Decoder).Decode":                     {asJSON, 0},
	"github.com/vmihailenco/msgpack/v5.Marshal":           {asMsgpack, 0},
	"github.com/vmihailenco/msgpack/v5.Unmarshal":         {asMsgpack, 1},
	"(*github.com/vmihailenco/msgpack/v5.Encoder).Encode": {asMsgpack, 0},
	"(*github.com/vmihailenco/msgpack/v5.Decoder).Decode": {asMsgpack, 0},
}

type encoder struct {
	tag      string
	argument int
}

// scan finds the types that are encoded anywhere in the project, and the fields of theirs
// that have no tag.
type scan struct {
	packages []*packages.Package
	// encoders are those of the libraries, and the functions of ours that hand an argument of
	// an interface type on to one.
	encoders map[string]encoder
	// seen are the types looked at, by encoding.
	seen   map[string]bool
	faults map[string]bool
}

// Every exported field of a struct that is encoded has a tag for that encoding, and every
// setting one for its name: no key comes from the name of a field in Go, which may be
// renamed at any time.
func TestEveryFieldHasTag(t *testing.T) {
	const mode = packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps
	loaded, err := packages.Load(&packages.Config{Mode: mode, Dir: "../.."}, module+"/...")
	if err != nil {
		t.Fatal(err)
	}
	s := &scan{packages: loaded, encoders: encoders, seen: map[string]bool{}, faults: map[string]bool{}}
	for s.findWrappers() {
	}
	s.eachNode(s.visit)
	for fault := range s.faults {
		t.Error(fault)
	}
	if len(s.seen) < leastTypes {
		t.Errorf("only %d encoded types were found: the search misses calls that it found before", len(s.seen))
	}
	t.Logf("%d encoded types", len(s.seen))
}

// leastTypes is how many encoded types there are at least.
const leastTypes = 100

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

// called is the function that is called, by its full name.
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

// encoded is the value that a call encodes or decodes, nil if it does neither.
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

// findWrappers adds the functions that hand a parameter on to an encoder; false if there
// are no more.
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

// visit looks at what is encoded at one place.
func (s *scan) visit(p *packages.Package, n ast.Node, _ *ast.FuncDecl) {
	if value, tag := s.encoded(p.TypesInfo, n); value != nil {
		s.look(p, value, tag)
	}
	switch n := n.(type) {
	case *ast.FuncDecl:
		if handles(p.TypesInfo.Defs[n.Name].(*types.Func).Signature()) {
			s.returned(p, n.Body)
		}
	case *ast.FuncLit:
		if handles(p.TypesInfo.TypeOf(n).(*types.Signature)) {
			s.returned(p, n.Body)
		}
	case *ast.CompositeLit:
		if types.TypeString(p.TypesInfo.TypeOf(n), nil) != "map[string]any" {
			return
		}
		for _, element := range n.Elts {
			if pair, ok := element.(*ast.KeyValueExpr); ok {
				s.look(p, pair.Value, asJSON)
			}
		}
	case *ast.TypeSpec:
		s.declared(p, n)
	}
}

// handles reports whether a function answers messages: what it returns is sent.
func handles(f *types.Signature) bool {
	return f.Results().Len() == 2 && types.IsInterface(f.Results().At(0).Type()) && f.Results().At(1).Type() == types.Typ[types.String]
}

// returned looks at what a function that answers messages returns.
func (s *scan) returned(p *packages.Package, body *ast.BlockStmt) {
	if body == nil {
		return
	}
	ast.Inspect(body, func(n ast.Node) bool {
		if _, inner := n.(*ast.FuncLit); inner {
			return false
		}
		if r, ok := n.(*ast.ReturnStmt); ok && len(r.Results) == 2 {
			s.look(p, r.Results[0], asMsgpack)
		}
		return true
	})
}

// declared looks at types that have generated JSON code, and at settings.
func (s *scan) declared(p *packages.Package, spec *ast.TypeSpec) {
	named, ok := p.TypesInfo.Defs[spec.Name].Type().(*types.Named)
	if !ok {
		return
	}
	if _, generated := ownMethod(p, named, "MarshalEasyJSON"); generated {
		s.walk(named, asJSON, p)
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
			s.fault(p, fields.Field(i).Pos(), named.String(), fields.Field(i).Name(), "long")
		}
	}
}

func (s *scan) fault(p *packages.Package, at token.Pos, in, field, tag string) {
	s.faults[fmt.Sprintf("%s: %s.%s has no %s tag", p.Fset.Position(at), in, field, tag)] = true
}

// look looks at the type of an expression.
func (s *scan) look(p *packages.Package, value ast.Expr, tag string) {
	if t := p.TypesInfo.TypeOf(value); t != nil {
		s.walk(t, tag, p)
	}
}

// walk looks at a type and all that it is made of.
func (s *scan) walk(t types.Type, tag string, p *packages.Package) {
	switch t := t.(type) {
	case *types.Alias:
		s.walk(types.Unalias(t), tag, p)
	case *types.Pointer:
		s.walk(t.Elem(), tag, p)
	case *types.Slice:
		s.walk(t.Elem(), tag, p)
	case *types.Array:
		s.walk(t.Elem(), tag, p)
	case *types.Map:
		s.walk(t.Key(), tag, p)
		s.walk(t.Elem(), tag, p)
	case *types.Named:
		key := tag + " " + t.String()
		if s.seen[key] || t.Obj().Pkg() == nil || !strings.HasPrefix(t.Obj().Pkg().Path(), module) || custom(p, t, tag) {
			return
		}
		s.seen[key] = true
		if fields, ok := t.Underlying().(*types.Struct); ok {
			s.fields(fields, t.String(), tag, p)
			return
		}
		s.walk(t.Underlying(), tag, p)
	case *types.Struct:
		s.fields(t, "an unnamed struct", tag, p)
	}
}

func (s *scan) fields(t *types.Struct, name, tag string, p *packages.Package) {
	for i := range t.NumFields() {
		field := t.Field(i)
		key, has := reflect.StructTag(t.Tag(i)).Lookup(tag)
		if key == "-" || !field.Exported() && !field.Embedded() {
			continue
		}
		// What is embedded has no key of its own: its fields have.
		if !field.Embedded() && (!has || strings.HasPrefix(key, ",")) {
			s.fault(p, field.Pos(), name, field.Name(), tag)
		}
		s.walk(field.Type(), tag, p)
	}
}

// ownMethod finds whether a type has a method, and whether it was generated.
func ownMethod(p *packages.Package, t *types.Named, name string) (has, generated bool) {
	for i := range t.NumMethods() {
		if m := t.Method(i); m.Name() == name {
			return true, strings.HasSuffix(p.Fset.Position(m.Pos()).Filename, "_easyjson.go")
		}
	}
	return false, false
}

// custom reports whether a type encodes itself by code that is written by hand, and does not
// go by its fields' names.
func custom(p *packages.Package, t *types.Named, tag string) bool {
	methods := map[string][]string{
		asJSON:    {"MarshalJSON", "MarshalEasyJSON", "MarshalText"},
		asMsgpack: {"MarshalMsgpack", "EncodeMsgpack"},
	}
	for _, name := range methods[tag] {
		if has, generated := ownMethod(p, t, name); has && !generated {
			return true
		}
	}
	return false
}
