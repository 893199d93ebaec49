package plan

import (
	"encoding/json"
	"slices"
)

// diffByName compares two lists of named items. It returns a sorted list of the items that are new,
// changed or gone.
func diffByName[T any](before, after []T, name func(T) string) (differences []string) {
	old := map[string]string{}
	for _, item := range before {
		old[name(item)] = canonicalJSON(item)
	}
	for _, item := range after {
		previous, existed := old[name(item)]
		switch {
		case !existed:
			differences = append(differences, name(item)+": new")
		case previous != canonicalJSON(item):
			differences = append(differences, name(item)+": changed")
		}
		delete(old, name(item))
	}
	for gone := range old {
		differences = append(differences, gone+": gone")
	}
	slices.Sort(differences)
	return differences
}

// canonicalJSON returns the JSON text by which parts of a configuration are compared.
func canonicalJSON(part any) string {
	b, _ := json.Marshal(part) // marshalling the types of a configuration never fails
	return string(b)
}
