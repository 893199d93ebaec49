// Package rendezvous ranks nodes for a key: each key has its own order of the
// nodes, and a node that comes or goes moves only what ranks it first.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score weighs a node for a key.
func Score(key, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(node))
	// FNV leaves its last bytes badly mixed; this finishes the job.
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Rank sorts nodes for a key, the first choice first.
func Rank[T any](key string, nodes []T, name func(T) string) []T {
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b T) int {
		return cmp.Or(cmp.Compare(Score(key, name(b)), Score(key, name(a))), cmp.Compare(name(a), name(b)))
	})
	return out
}
