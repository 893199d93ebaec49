package actor

import (
	"go/ast"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

// Goroutines start here only, and no process starts another, shares memory with
// one or goes round the runtime.
func TestRules(t *testing.T) {
	got, err := packages.Load(&packages.Config{Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedImports, Dir: "../.."}, "curlewwalk/...")
	if err != nil {
		t.Fatal(err)
	}
	seen, starts := 0, 0
	for _, p := range got {
		if strings.HasPrefix(p.PkgPath, "curlewwalk/tests") {
			continue
		}
		seen++
		for path := range p.Imports {
			switch path {
			case "os/exec", "plugin", "unsafe", "C":
				// easyjson's generated code is of one package and uses none of them.
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
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "syscall" && (strings.HasPrefix(n.Sel.Name, "Fork") || n.Sel.Name == "Exec" || n.Sel.Name == "Mmap" || strings.HasPrefix(n.Sel.Name, "Syscall") || strings.HasPrefix(n.Sel.Name, "RawSyscall")) {
						t.Errorf("%s calls syscall.%s", p.Fset.Position(n.Pos()), n.Sel.Name)
					}
				}
				return true
			})
		}
	}
	if seen < 20 || starts == 0 {
		t.Errorf("%d packages and %d starts of goroutines were seen", seen, starts)
	}
}
