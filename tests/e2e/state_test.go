package e2e

import (
	"context"

	"curlewwalk/tests/fleet"
)

// replicaState is the part of a replica's GET /v1/state that the tests read.
type replicaState struct {
	Phase    string `json:"phase"`
	Promised uint64 `json:"promised"` // the term
	Self     struct {
		MemberID    int    `json:"slot"`
		Incarnation uint64 `json:"incarnation"`
	} `json:"self"`
	Position struct {
		Revision uint64 `json:"Stamp"`
	} `json:"mark"`
	Coordinator int `json:"duty"` // its member ID
	Members     struct {
		Current  []stateMember `json:"now"`
		Previous []stateMember `json:"before"`
	} `json:"slots"`
}

// stateMember is a member in a replicaState.
type stateMember struct {
	MemberID int `json:"slot"`
}

// readState reads the state of a replica.
func readState(ctx context.Context, p *fleet.Program) (state replicaState, err error) {
	_, err = p.Get(ctx, "/v1/state", &state)
	return state, err
}
