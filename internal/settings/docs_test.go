package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// settingNames lists the names of a struct's settings.
func settingNames(t reflect.Type) (names []string) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Anonymous {
			names = append(names, settingNames(f.Type)...)
		} else if name := f.Tag.Get("long"); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Each setting has its line in docs/OPERATING.md.
func TestEachSettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "| setting | for | meaning |")
	table, _, _ = strings.Cut(table, "\n\n")
	all := append(settingNames(reflect.TypeFor[ControlPlane]()), settingNames(reflect.TypeFor[Sidecar]())...)
	for _, name := range all {
		documented := false
		for line := range strings.Lines(table) {
			cells := strings.SplitN(line, "|", 3)
			documented = documented || len(cells) == 3 && strings.Contains(cells[1], "`"+name+"`")
		}
		if !documented {
			t.Errorf("%s has no line", name)
		}
	}
	if len(all) < 30 {
		t.Errorf("%d settings seen", len(all))
	}
}
