package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func name(node string) string { return node }

// Scores are the same as in earlier versions. Nodes of different versions must agree on scores
// during a rolling restart.
func TestScoresAreStable(t *testing.T) {
	for _, want := range []struct {
		key, node string
		score     uint64
	}{
		{"", "", 0xb9034ad37056f5fb},
		{"outgoing", "desk", 0x2cb06f65796cb63f},
		{"10.0.0.1:7400", "10.0.0.2:7400", 0xa90e24636b72369},
	} {
		if got := Score(want.key, want.node); got != want.score {
			t.Errorf("key %q, node %q: got score %#x, want %#x", want.key, want.node, got, want.score)
		}
	}
}

// Removing a node leaves the order of the other nodes unchanged for every key, so only the keys
// that ranked the node first move. Each node ranks first for about the same number of keys.
func TestRemovalMovesOnlyKeysOfRemovedNode(t *testing.T) {
	const keys, nodes = 3000, 6
	var all []string
	for i := range nodes {
		all = append(all, fmt.Sprintf("10.0.0.%d:7400", i))
	}
	removed := all[2]
	rest := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == removed })
	first := map[string]int{}
	for i := range keys {
		key := fmt.Sprint("key-", i)
		before := Rank(key, all, name)
		after := Rank(key, rest, name)
		first[before[0]]++
		if !slices.Equal(after, slices.DeleteFunc(before, func(n string) bool { return n == removed })) {
			t.Fatalf("%s: the order of the remaining nodes changed", key)
		}
	}
	for _, node := range all {
		if got := first[node]; got < keys/nodes*4/5 || got > keys/nodes*6/5 {
			t.Errorf("node %s ranks first for %d of %d keys, want about a sixth", node, got, keys)
		}
	}
}
