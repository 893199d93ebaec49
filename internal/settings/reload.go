package settings

import (
	"reflect"
	"slices"
)

// reloadable names the settings that a SIGHUP puts in force.
var reloadable = []string{"seed", "drain"}

// ReloadResult tells what the last SIGHUP came to.
type ReloadResult struct {
	Applied      []string `json:"applied"`
	NeedsRestart []string `json:"needs_restart"`
	Fault        string   `json:"fault,omitempty"`
}

// Diff lists which settings of two structs of one type differ, by whether
// they can be put in force without a restart.
func Diff(old, next any) ReloadResult {
	var r ReloadResult
	oldValue, newValue := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range oldValue.NumField() {
		f, x, y := oldValue.Type().Field(i), oldValue.Field(i).Interface(), newValue.Field(i).Interface()
		name := f.Tag.Get("long")
		switch {
		case f.Anonymous:
			in := Diff(x, y)
			r.Applied, r.NeedsRestart = append(r.Applied, in.Applied...), append(r.NeedsRestart, in.NeedsRestart...)
		case reflect.DeepEqual(x, y):
		case slices.Contains(reloadable, name):
			r.Applied = append(r.Applied, name)
		default:
			r.NeedsRestart = append(r.NeedsRestart, name)
		}
	}
	return r
}
