package e2e

import (
	"context"

	"curlewwalk/tests/fleet"
)

// replicaState holds the fields of a replica's GET /v1/state that the tests read.
type replicaState struct {
	Phase    string `json:"phase"`
	Promised uint64 `json:"promised"` // term
	Self     struct {
		MemberID    int    `json:"slot"`
		Incarnation uint64 `json:"incarnation"`
	} `json:"self"`
	Position struct {
		Revision uint64 `json:"Stamp"`
	} `json:"mark"`
	Coordinator int `json:"duty"` // member ID
	Members     struct {
		Current  []stateMember `json:"now"`
		Previous []stateMember `json:"before"`
	} `json:"slots"`
}

// stateMember is one member of the sets in a replicaState.
type stateMember struct {
	MemberID int `json:"slot"`
}

// readState returns the current state of a replica.
func readState(ctx context.Context, p *fleet.Program) (state replicaState, err error) {
	_, err = p.Get(ctx, "/v1/state", &state)
	return state, err
}
