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

// wallClockMethods are what reads or writes the wall clock's side of a time. What only
// compares and subtracts times goes by the monotonic clock.
var wallClockMethods = []string{
	"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Format", "AppendFormat", "String", "Date", "Clock", "Year", "Month", "Day",
	"Hour", "Minute", "Second", "Nanosecond", "Weekday", "YearDay", "ISOWeek", "Round", "Truncate", "UTC", "Local", "In", "Location", "Zone",
	"MarshalJSON", "MarshalText", "MarshalBinary", "GobEncode", "GoString",
}

// exemptPackages are the packages that handle calendar times; passers are what hands
// wall clocks on outside of them.
var (
	exemptPackages     = []string{"curlewwalk/internal/clock", "curlewwalk/internal/maintenance"}
	exemptDeclarations = map[string][]string{
		"curlewwalk/internal/membership":   {"ReplicaTable.MedianClock"},
		"curlewwalk/internal/plan":         {"Impact.String"}, // of a window that is shown
		"curlewwalk/internal/controlplane": {"cluster.status", "cluster.medianWallClock", "windowsResponse"},
	}
)

// wallClockUses lists where a package reads the wall clock, tells it, or makes a time of
// one.
func wallClockUses(p *packages.Package) (out []string) {
	told := func(f *ast.Field) {
		if f.Tag == nil {
			return
		}
		t := p.TypesInfo.TypeOf(f.Type)
		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
		for _, k := range []string{"json", "msgpack"} {
			if v, ok := tag.Lookup(k); ok && v != "-" && t != nil && strings.Contains(t.String(), "time.Time") {
				out = append(out, p.Fset.Position(f.Pos()).String()+": a time is told")
			}
		}
	}
	for _, file := range p.Syntax {
		for _, d := range file.Decls {
			if slices.Contains(exemptDeclarations[p.PkgPath], declaredName(d)) {
				continue
			}
			ast.Inspect(d, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.Field:
					told(n)
				case *ast.Ident:
					fn, ok := p.TypesInfo.Uses[n].(*types.Func)
					if !ok || fn.Pkg() == nil {
						break
					}
					full := fn.FullName()
					method, onTime := strings.CutPrefix(full, "(time.Time).")
					made := slices.Contains([]string{"time.Unix", "time.UnixMilli", "time.UnixMicro", "time.Date", "time.Parse", "time.ParseInLocation", "curlewwalk/internal/clock.Wall"}, full)
					if onTime && slices.Contains(wallClockMethods, method) || made || strings.HasSuffix(full, "FileInfo).ModTime") {
						out = append(out, p.Fset.Position(n.Pos()).String()+": "+full)
					}
				}
				return true
			})
		}
	}
	return out
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

// Nothing but this package, the windows and what hands clocks to them reads a
// wall clock: so no jump of one can move any other decision. The check itself is
// seen to find each kind of use.
func TestWallClockIsReadInOnePlace(t *testing.T) {
	packs := loadPackages(t, "curlewwalk/...", nil)
	if len(packs) < 20 {
		t.Fatalf("only %d packages were looked at", len(packs))
	}
	for _, p := range packs {
		for _, u := range wallClockUses(p) {
			t.Error(u)
		}
	}
	var roster *packages.Package
	for _, p := range packs {
		if p.PkgPath == "curlewwalk/internal/dataplane/endpoints" {
			roster = p
		}
	}
	file := roster.GoFiles[0]
	for _, bad := range []string{
		"func _() int64 { return time.Now().Unix() }", "func _(t time.Time) string { return t.String() }",
		"func _() time.Time { return time.Unix(1, 2) }", "func _() time.Time { return time.Now().Round(0) }", "type _ struct { T time.Time `msgpack:\"t\"` }",
	} {
		text := "package endpoints\nimport \"time\"\n" + bad + "\n"
		found := 0
		for _, p := range loadPackages(t, "curlewwalk/internal/dataplane/endpoints", map[string][]byte{strings.TrimSuffix(file, ".go") + "_added.go": []byte(text)}) {
			found += len(wallClockUses(p))
		}
		if found != 1 {
			t.Errorf("%s: found %d times", bad, found)
		}
	}
}
