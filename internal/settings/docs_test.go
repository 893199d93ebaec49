package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// settingNames lists the names of a group's settings.
func settingNames(t reflect.Type) (out []string) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Anonymous {
			out = append(out, settingNames(f.Type)...)
		} else if name := f.Tag.Get("long"); name != "" {
			out = append(out, name)
		}
	}
	return out
}

// Each setting has its line in the operators' page.
func TestEachSettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "| setting | for | meaning |")
	table, _, _ = strings.Cut(table, "\n\n")
	all := append(settingNames(reflect.TypeFor[ControlPlane]()), settingNames(reflect.TypeFor[Sidecar]())...)
	for _, name := range all {
		told := false
		for line := range strings.Lines(table) {
			cells := strings.SplitN(line, "|", 3)
			told = told || len(cells) == 3 && strings.Contains(cells[1], "`"+name+"`")
		}
		if !told {
			t.Errorf("%s has no line", name)
		}
	}
	if len(all) < 30 {
		t.Errorf("%d settings seen", len(all))
	}
}
