package consensus

import (
	"slices"
	"testing"
)

// Only unconditional commands with a generation are reordered, and only if such a command is
// first in the queue.
func TestCommandQueuePrioritizesHighestGeneration(t *testing.T) {
	revision := uint64(1)
	evacuation := Command{ID: 9, Kind: CommandEvacuate}
	numbered := func(id, generation uint64) Command {
		return Command{ID: id, Kind: CommandPutConfiguration, Generation: generation}
	}
	bound := numbered(8, 50)
	bound.IfMatch = &revision
	for _, c := range []struct {
		name  string
		queue commandQueue
		want  []uint64
	}{
		{"single command", commandQueue{numbered(1, 1)}, []uint64{1}},
		{"in order", commandQueue{numbered(1, 3), numbered(2, 2)}, []uint64{1, 2}},
		{"highest last", commandQueue{numbered(1, 1), numbered(2, 2), numbered(3, 3)}, []uint64{3, 1, 2}},
		{"equal generations", commandQueue{numbered(1, 1), numbered(2, 2), numbered(3, 2)}, []uint64{2, 1, 3}},
		{"past other commands", commandQueue{numbered(1, 1), evacuation, numbered(2, 2)}, []uint64{2, 1, 9}},
		{"another command first", commandQueue{evacuation, numbered(1, 1), numbered(2, 2)}, []uint64{9, 1, 2}},
		{"conditional command", commandQueue{numbered(1, 1), bound}, []uint64{1, 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.queue.prioritizeHighestGeneration()
			var got []uint64
			for len(c.queue) > 0 {
				got = append(got, c.queue.pop().ID)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("order = %v, want %v", got, c.want)
			}
		})
	}
}
