package clock

import (
	"go/ast"
	"go/types"
	"reflect"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

// wallClockMethods are the methods of time.Time that read the wall clock's part of a time. Those
// that only compare and subtract times use the monotonic clock.
var wallClockMethods = []string{
	"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Format", "AppendFormat", "String", "Date", "Clock", "Year", "Month", "Day",
	"Hour", "Minute", "Second", "Nanosecond", "Weekday", "YearDay", "ISOWeek", "Round", "Truncate", "UTC", "Local", "In", "Location", "Zone",
	"MarshalJSON", "MarshalText", "MarshalBinary", "GobEncode", "GoString",
}

// wallClockFunctions make a time of the wall clock.
var wallClockFunctions = []string{
	"time.Unix", "time.UnixMilli", "time.UnixMicro", "time.Date", "time.Parse", "time.ParseInLocation", "curlewwalk/internal/clock.Wall",
}

// exemptPackages are the packages that handle calendar times; exemptDeclarations pass wall clock
// times on outside of them, by package.
var (
	exemptPackages     = []string{"curlewwalk/internal/clock", "curlewwalk/internal/maintenance"}
	exemptDeclarations = map[string][]string{
		"curlewwalk/internal/membership":   {"ReplicaTable.MedianClock"},
		"curlewwalk/internal/plan":         {"Impact.String"}, // of a window that is shown
		"curlewwalk/internal/controlplane": {"cluster.status", "cluster.medianWallClock", "windowsResponse"},
	}
)

// wallClockUses lists where a package reads the wall clock, encodes a time, or makes a time of
// the wall clock.
func wallClockUses(p *packages.Package) (out []string) {
	for _, file := range p.Syntax {
		for _, d := range file.Decls {
			if slices.Contains(exemptDeclarations[p.PkgPath], declaredName(d)) {
				continue
			}
			ast.Inspect(d, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.Field:
					if encodesTime(p, n) {
						out = append(out, p.Fset.Position(n.Pos()).String()+": a time is encoded")
					}
				case *ast.Ident:
					if name, ok := wallClockFunction(p, n); ok {
						out = append(out, p.Fset.Position(n.Pos()).String()+": "+name)
					}
				}
				return true
			})
		}
	}
	return out
}

// encodesTime reports whether a field with a time has a key in JSON or msgpack.
func encodesTime(p *packages.Package, f *ast.Field) bool {
	t := p.TypesInfo.TypeOf(f.Type)
	if f.Tag == nil || t == nil || !strings.Contains(t.String(), "time.Time") {
		return false
	}
	tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
	return slices.ContainsFunc([]string{"json", "msgpack"}, func(format string) bool {
		key, ok := tag.Lookup(format)
		return ok && key != "-"
	})
}

// wallClockFunction is the full name of the function that an identifier stands for, if that
// reads the wall clock or makes a time of it.
func wallClockFunction(p *packages.Package, id *ast.Ident) (string, bool) {
	fn, ok := p.TypesInfo.Uses[id].(*types.Func)
	if !ok || fn.Pkg() == nil {
		return "", false
	}
	name := fn.FullName()
	method, ofTime := strings.CutPrefix(name, "(time.Time).")
	found := ofTime && slices.Contains(wallClockMethods, method) || slices.Contains(wallClockFunctions, name) || strings.HasSuffix(name, "FileInfo).ModTime")
	return name, found
}

// declaredName is what a declaration declares: a function, Type.Method, or one type.
func declaredName(d ast.Decl) string {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			return d.Name.Name
		}
		receiver := d.Recv.List[0].Type
		if pointer, ok := receiver.(*ast.StarExpr); ok {
			receiver = pointer.X
		}
		if named, ok := receiver.(*ast.Ident); ok {
			return named.Name + "." + d.Name.Name
		}
		return d.Name.Name
	case *ast.GenDecl:
		if spec, ok := d.Specs[0].(*ast.TypeSpec); ok {
			return spec.Name.Name
		}
	}
	return ""
}

// loadPackages loads the packages of a pattern that are not exempt, with files added by path.
func loadPackages(t *testing.T, pattern string, overlay map[string][]byte) (all []*packages.Package) {
	t.Helper()
	got, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedDeps | packages.NeedImports,
		Dir:  "../..", Overlay: overlay,
	}, pattern)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range got {
		for _, e := range p.Errors {
			t.Fatal(e)
		}
		if !strings.HasPrefix(p.PkgPath, "curlewwalk/tests") && !slices.Contains(exemptPackages, p.PkgPath) {
			all = append(all, p)
		}
	}
	return all
}

// samplePackage is a package that each kind of use is added to, to see that the check finds it.
const samplePackage = "curlewwalk/internal/dataplane/endpoints"

// Nothing but this package, the maintenance windows and what passes wall clock times to them
// reads a wall clock, so that no jump of one can change any other decision. The check itself is
// seen to find each kind of use.
func TestWallClockIsReadInOnePlace(t *testing.T) {
	checked := loadPackages(t, "curlewwalk/...", nil)
	if len(checked) < 20 {
		t.Fatalf("only %d packages were checked", len(checked))
	}
	for _, p := range checked {
		for _, use := range wallClockUses(p) {
			t.Error(use)
		}
	}
	sample := slices.IndexFunc(checked, func(p *packages.Package) bool { return p.PkgPath == samplePackage })
	if sample < 0 {
		t.Fatalf("%s was not checked", samplePackage)
	}
	added := strings.TrimSuffix(checked[sample].GoFiles[0], ".go") + "_added.go"
	for _, c := range []struct{ name, code string }{
		{"seconds", "func _() int64 { return time.Now().Unix() }"},
		{"text", "func _(t time.Time) string { return t.String() }"},
		{"from seconds", "func _() time.Time { return time.Unix(1, 2) }"},
		{"without monotonic clock", "func _() time.Time { return time.Now().Round(0) }"},
		{"encoded", "type _ struct { T time.Time `msgpack:\"t\"` }"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := "package endpoints\nimport \"time\"\n" + c.code + "\n"
			found := 0
			for _, p := range loadPackages(t, samplePackage, map[string][]byte{added: []byte(text)}) {
				found += len(wallClockUses(p))
			}
			if found != 1 {
				t.Errorf("%s: found %d times", c.code, found)
			}
		})
	}
}
