// Package rendezvous ranks nodes for a key by rendezvous (highest random weight) hashing. Each key
// has its own order of the nodes. Adding or removing a node moves only the keys that rank the node
// first.
//
// Scores are part of the protocol between nodes. Two nodes that compute different scores disagree
// on ports and on shares of retry budgets. (DESIGN 13)
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns the weight of a node for a key. The node with the highest score ranks first.
func Score(key, node string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	hash.Write([]byte{0})
	hash.Write([]byte(node))
	return mixBits(hash.Sum64())
}

// mixBits mixes the bits of an FNV sum by the finalizer of MurmurHash3. Without it, the last bytes
// of the input would hardly affect the high bits of the score.
func mixBits(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	sum ^= sum >> 33
	return sum
}

// Rank returns the nodes sorted by descending score for a key. Nodes of equal score are sorted by
// name.
func Rank[T any](key string, nodes []T, name func(T) string) []T {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b T) int {
		byScore := cmp.Compare(Score(key, name(b)), Score(key, name(a)))
		return cmp.Or(byScore, cmp.Compare(name(a), name(b)))
	})
	return ranked
}
