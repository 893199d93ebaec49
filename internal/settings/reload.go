package settings

import (
	"reflect"
	"slices"
)

// reloadable has the settings that a SIGHUP applies, by name.
var reloadable = []string{"seed", "drain"}

// ReloadResult is the outcome of a SIGHUP, by the names of the settings that have changed.
type ReloadResult struct {
	Applied      []string `json:"applied"`
	NeedsRestart []string `json:"needs_restart"`
	// Fault tells why the settings could not be read; then nothing was applied.
	Fault string `json:"fault,omitempty"`
}

// Diff lists which settings of two structs of one type differ, by whether they can be applied
// without a restart.
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
