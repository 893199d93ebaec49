package settings

import (
	"reflect"
	"slices"
)

// reloadable lists the names of the settings that SIGHUP applies without a restart.
var reloadable = []string{"seed", "drain"}

// ReloadResult is the outcome of a reload by SIGHUP. Applied and NeedsRestart contain the names of
// the settings that changed.
type ReloadResult struct {
	Applied      []string `json:"applied"`
	NeedsRestart []string `json:"needs_restart"`
	// Fault is the reason why the settings could not be read. If it is set, no setting was applied.
	Fault string `json:"fault,omitempty"`
}

// Diff compares two settings structs of the same type. It returns the names of the settings that
// differ: in Applied those that can be applied without a restart, in NeedsRestart the others.
func Diff(old, next any) (result ReloadResult) {
	oldValue, nextValue := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range oldValue.NumField() {
		field := oldValue.Type().Field(i)
		before, after := oldValue.Field(i).Interface(), nextValue.Field(i).Interface()
		name := field.Tag.Get("long")
		switch {
		case field.Anonymous:
			embedded := Diff(before, after)
			result.Applied = append(result.Applied, embedded.Applied...)
			result.NeedsRestart = append(result.NeedsRestart, embedded.NeedsRestart...)
		case reflect.DeepEqual(before, after):
		case slices.Contains(reloadable, name):
			result.Applied = append(result.Applied, name)
		default:
			result.NeedsRestart = append(result.NeedsRestart, name)
		}
	}
	return result
}
