package consensus

// commandQueue holds the commands that a proposer has not ended, the one it works on first.
type commandQueue []Command

// pop takes the first command out of the queue, which must not be empty.
func (q *commandQueue) pop() Command {
	first := (*q)[0]
	*q = (*q)[1:]
	return first
}

// prioritizeHighestGeneration moves the highest of the queued generations to the front, if a
// generation is first: once it is committed, the others need no write. Whoever submitted them
// has no response yet, so any order among them is as good. The queue must not be empty.
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

// reorderable reports whether the command may go before those that were queued earlier.
func (c Command) reorderable() bool {
	return c.isNumbered() && c.IfMatch == nil
}

// wasProposed reports whether an acceptor may hold what the command asks for.
func (c Command) wasProposed() bool { return c.proposedAt != Position{} }

// endWith answers the command, without a state: it was not committed, or may not have been.
func (c Command) endWith(outcome Outcome) Ready {
	return Ready{Result: &CommandResult{ID: c.ID, Outcome: outcome}}
}
