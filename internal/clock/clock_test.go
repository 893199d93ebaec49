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

// wallClockMethods are the methods of time.Time that use the wall clock reading of a time. Methods
// that only compare or subtract times use the monotonic clock reading.
var wallClockMethods = []string{
	"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Format", "AppendFormat", "String", "Date", "Clock", "Year", "Month", "Day",
	"Hour", "Minute", "Second", "Nanosecond", "Weekday", "YearDay", "ISOWeek", "Round", "Truncate", "UTC", "Local", "In", "Location", "Zone",
	"MarshalJSON", "MarshalText", "MarshalBinary", "GobEncode", "GoString",
}

// wallClockFunctions are the functions that return a time without a monotonic clock reading.
var wallClockFunctions = []string{
	"time.Unix", "time.UnixMilli", "time.UnixMicro", "time.Date", "time.Parse", "time.ParseInLocation", "curlewwalk/internal/clock.Wall",
}

// exemptPackages are the packages that handle calendar times. exemptDeclarations are, by package,
// the declarations outside of them that may pass on wall clock times.
var (
	exemptPackages     = []string{"curlewwalk/internal/clock", "curlewwalk/internal/maintenance"}
	exemptDeclarations = map[string][]string{
		"curlewwalk/internal/membership":   {"ReplicaTable.MedianClock"},
		"curlewwalk/internal/plan":         {"Impact.String"}, // formats a maintenance window for display
		"curlewwalk/internal/controlplane": {"cluster.status", "cluster.medianWallClock", "windowsResponse"},
	}
)

// wallClockUses returns the positions at which a package reads the wall clock, creates a time from
// it, or declares an encoded field of type time.Time, each with a description.
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
						out = append(out, p.Fset.Position(n.Pos()).String()+": field of type time.Time is encoded")
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

// encodesTime reports whether a struct field contains a time.Time and is encoded in JSON or msgpack.
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

// wallClockFunction returns the full name of the function that an identifier refers to, and reports
// whether the function reads the wall clock or creates a time from it.
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

// declaredName returns the name that a declaration declares: the name of a function or of a type, or
// Type.Method for a method. It is empty for other declarations.
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

// loadPackages loads the packages that match a pattern and are not exempt. overlay adds files, by
// path.
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

// samplePackage is the package to which the test adds each kind of wall clock use, to verify that
// the check finds it.
const samplePackage = "curlewwalk/internal/dataplane/endpoints"

// Only this package, the maintenance windows, and the declarations that pass wall clock times to
// them use the wall clock, so that a jump of the wall clock cannot change any other decision. The
// test also verifies that the check finds each kind of use.
func TestWallClockIsReadInOnePlace(t *testing.T) {
	checked := loadPackages(t, "curlewwalk/...", nil)
	if len(checked) < 20 {
		t.Fatalf("checked %d packages, want at least 20", len(checked))
	}
	for _, p := range checked {
		for _, use := range wallClockUses(p) {
			t.Error(use)
		}
	}
	sample := slices.IndexFunc(checked, func(p *packages.Package) bool { return p.PkgPath == samplePackage })
	if sample < 0 {
		t.Fatalf("sample package %s is not among the checked packages", samplePackage)
	}
	added := strings.TrimSuffix(checked[sample].GoFiles[0], ".go") + "_added.go"
	for _, c := range []struct{ name, code string }{
		{"Unix seconds", "func _() int64 { return time.Now().Unix() }"},
		{"string", "func _(t time.Time) string { return t.String() }"},
		{"time from Unix seconds", "func _() time.Time { return time.Unix(1, 2) }"},
		{"time without monotonic clock reading", "func _() time.Time { return time.Now().Round(0) }"},
		{"encoded field", "type _ struct { T time.Time `msgpack:\"t\"` }"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := "package endpoints\nimport \"time\"\n" + c.code + "\n"
			found := 0
			for _, p := range loadPackages(t, samplePackage, map[string][]byte{added: []byte(text)}) {
				found += len(wallClockUses(p))
			}
			if found != 1 {
				t.Errorf("%s: found %d uses of the wall clock, want 1", c.code, found)
			}
		})
	}
}
