package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// settingNames returns the names of a struct's settings, including those of embedded structs.
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

// Each setting has a row in the table of docs/OPERATING.md. The test fails if a setting is added or
// renamed without the page, and if the structs yield implausibly few settings.
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
			t.Errorf("setting %s has no row in docs/OPERATING.md", name)
		}
	}
	if len(all) < 30 {
		t.Errorf("found %d settings in the structs, want at least 30", len(all))
	}
}
