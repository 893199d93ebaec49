package actor

import (
	"go/ast"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

// forbiddenImports are the packages that start processes, load code at run time or bypass the
// safety rules of the language.
var forbiddenImports = []string{"os/exec", "plugin", "unsafe", "C"}

// forbiddenSystemCall reports whether the function of package syscall with this name starts a
// process, shares memory with one, or bypasses the Go runtime.
func forbiddenSystemCall(name string) bool {
	return name == "Exec" || name == "Mmap" || strings.HasPrefix(name, "Fork") ||
		strings.HasPrefix(name, "Syscall") || strings.HasPrefix(name, "RawSyscall")
}

// Only package actor starts goroutines. No package starts a process, shares memory with one or
// bypasses the Go runtime.
func TestForbiddenConstructs(t *testing.T) {
	loaded, err := packages.Load(&packages.Config{Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedImports, Dir: "../.."}, "curlewwalk/...")
	if err != nil {
		t.Fatal(err)
	}
	checked, starts := 0, 0
	for _, p := range loaded {
		if strings.HasPrefix(p.PkgPath, "curlewwalk/tests") {
			continue
		}
		checked++
		for path := range p.Imports {
			if slices.Contains(forbiddenImports, path) {
				t.Errorf("%s imports %s", p.PkgPath, path)
			}
		}
		for _, file := range p.Syntax {
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					if starts++; p.PkgPath != "curlewwalk/internal/actor" {
						t.Errorf("%s starts a goroutine", p.Fset.Position(n.Pos()))
					}
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "syscall" && forbiddenSystemCall(n.Sel.Name) {
						t.Errorf("%s calls syscall.%s", p.Fset.Position(n.Pos()), n.Sel.Name)
					}
				}
				return true
			})
		}
	}
	if checked < 20 || starts == 0 {
		t.Errorf("checked %d packages and found %d go statements, want at least 20 packages and one go statement", checked, starts)
	}
}
