package settings

import (
	"reflect"
	"slices"
)

// reloadable names the settings that a SIGHUP puts in force.
var reloadable = []string{"seed", "drain"}

// Reloaded tells what the last SIGHUP came to.
type Reloaded struct {
	Applied []string `json:"applied"`
	Restart []string `json:"needs_restart"`
	Fault   string   `json:"fault,omitempty"`
}

// Compare lists which settings of two structs of one type differ, by whether
// they can be put in force without a restart.
func Compare(old, next any) Reloaded {
	var r Reloaded
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		f, x, y := a.Type().Field(i), a.Field(i).Interface(), b.Field(i).Interface()
		name := f.Tag.Get("long")
		switch {
		case f.Anonymous:
			in := Compare(x, y)
			r.Applied, r.Restart = append(r.Applied, in.Applied...), append(r.Restart, in.Restart...)
		case reflect.DeepEqual(x, y):
		case slices.Contains(reloadable, name):
			r.Applied = append(r.Applied, name)
		default:
			r.Restart = append(r.Restart, name)
		}
	}
	return r
}
