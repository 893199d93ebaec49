package consensus

// commandQueue holds the unfinished commands of a proposer. The first one is being processed.
type commandQueue []Command

// pop removes and returns the first command. The queue must not be empty.
func (q *commandQueue) pop() Command {
	first := (*q)[0]
	*q = (*q)[1:]
	return first
}

// prioritizeHighestGeneration moves the command with the highest generation to the front if the
// first command is reorderable. Once that generation is committed, the lower ones need no
// write. None of these commands has been answered yet, so any order among them is valid. The
// queue must not be empty.
func (q commandQueue) prioritizeHighestGeneration() {
	if !q[0].reorderable() {
		return
	}
	highest := 0
	for i, command := range q {
		if command.reorderable() && command.Generation > q[highest].Generation {
			highest = i
		}
	}
	if first := q[highest]; highest > 0 {
		copy(q[1:highest+1], q[:highest])
		q[0] = first
	}
}

// reorderable reports whether the command may be executed before commands queued earlier.
func (c Command) reorderable() bool {
	return c.isNumbered() && c.IfMatch == nil
}

// wasProposed reports whether an acceptor may hold the result of the command.
func (c Command) wasProposed() bool { return c.proposedAt != Position{} }

// endWith returns the result of a command that was not committed, or may not have been. The
// result has no state.
func (c Command) endWith(outcome Outcome) Ready {
	return Ready{Result: &CommandResult{ID: c.ID, Outcome: outcome}}
}
