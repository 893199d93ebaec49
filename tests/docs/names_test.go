package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// root is the root of the module, relative to this package.
const root = "../.."

// pages are the pages whose quoted names are checked.
var pages = []string{"docs/ARCHITECTURE.md", "docs/GLOSSARY.md"}

var (
	// quoted matches inline code of Markdown.
	quoted = regexp.MustCompile("`([^`\n]+)`")
	// qualified matches a qualified Go name: pkg.Name or pkg.Type.Member.
	qualified = regexp.MustCompile(`^[a-z]+\.[A-Za-z]\w*(?:\.[A-Za-z]\w*)?$`)
	// modulePath matches the path of a package, folder or file of this module.
	modulePath = regexp.MustCompile(`^(?:cmd|deploy|docs|internal|platform|tests)/[\w/.-]*$`)
)

// declarations is the set of names that the module declares, as pkg.Name and pkg.Type.Member.
type declarations map[string]bool

// add adds the declarations of a file. Fields and interface methods are members of their type.
func (d declarations) add(file *ast.File) {
	pkg := file.Name.Name
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			name := decl.Name.Name
			if decl.Recv != nil {
				name = receiverName(decl.Recv.List[0].Type) + "." + name
			}
			d[pkg+"."+name] = true
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

// addSpec adds the names that a constant, variable or type specification declares.
func (d declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		d[pkg+"."+spec.Name.Name] = true
		for _, member := range members(spec.Type) {
			d[pkg+"."+spec.Name.Name+"."+member] = true
		}
	}
}

// members returns the names of a struct's fields or an interface's methods.
func members(of ast.Expr) (out []string) {
	var list *ast.FieldList
	switch of := of.(type) {
	case *ast.StructType:
		list = of.Fields
	case *ast.InterfaceType:
		list = of.Methods
	default:
		return nil
	}
	for _, field := range list.List {
		for _, name := range field.Names {
			out = append(out, name.Name)
		}
	}
	return out
}

// receiverName returns the name of a receiver's type, without pointer and type parameters.
func receiverName(of ast.Expr) string {
	switch of := of.(type) {
	case *ast.StarExpr:
		return receiverName(of.X)
	case *ast.IndexExpr:
		return receiverName(of.X)
	case *ast.Ident:
		return of.Name
	}
	return ""
}

// declared returns the declarations of all Go files of the module.
func declared(t *testing.T) declarations {
	t.Helper()
	all := declarations{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains([]string{".git", "journal", "target"}, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		all.add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// missing returns the quoted names and paths of a page that do not exist, and the number of names and
// paths checked.
func missing(page string, all declarations) (out []string, checked int) {
	for _, match := range quoted.FindAllStringSubmatch(page, -1) {
		name := match[1]
		switch {
		case modulePath.MatchString(name):
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				out = append(out, name)
			}
		case qualified.MatchString(name):
			if !all[name] {
				out = append(out, name)
			}
		default:
			continue
		}
		checked++
	}
	return out, checked
}

// TestQuotedNamesExist checks that the names and paths that the pages quote exist.
func TestQuotedNamesExist(t *testing.T) {
	all := declared(t)
	for _, path := range pages {
		page, err := os.ReadFile(filepath.Join(root, path))
		if err != nil {
			t.Fatal(err)
		}
		gone, checked := missing(string(page), all)
		for _, name := range gone {
			t.Errorf("%s quotes %s, which does not exist", path, name)
		}
		if checked < 20 {
			t.Errorf("%s: found only %d names and paths to check", path, checked)
		}
	}
}

// TestMissingNamesAreFound checks that a quoted name or path that does not exist is reported.
func TestMissingNamesAreFound(t *testing.T) {
	all := declarations{"proxy.Outbound": true, "proxy.Outbound.Handler": true}
	for _, c := range []struct {
		name, page string
		want       []string
	}{
		{"type", "`proxy.Outbound`", nil},
		{"method", "`proxy.Outbound.Handler`", nil},
		{"missing type", "`proxy.Near`", []string{"proxy.Near"}},
		{"missing method", "`proxy.Outbound.serveNear`", []string{"proxy.Outbound.serveNear"}},
		{"folder", "`tests/docs`", nil},
		{"missing folder", "`internal/relay`", []string{"internal/relay"}},
		{"neither name nor path", "`PUT /v1/desired`", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, _ := missing(c.page, all); !slices.Equal(got, c.want) {
				t.Errorf("got missing names %v, want %v", got, c.want)
			}
		})
	}
}
