package fleet

import (
	"context"
	"fmt"
)

// sidecarNode contains the fields that the tests read from an entry of GET /v1/nodes.
type sidecarNode struct {
	Address  string `json:"address"`
	Backends []struct {
		Instance string `json:"instance"`
		Leaving  bool   `json:"leaving"`
	} `json:"backends"`
}

// AwaitServing waits until every running sidecar has at least the given revision in force and lists
// exactly the given number of backends that are not leaving.
func (f *Fleet) AwaitServing(ctx context.Context, revision uint64, backends int) error {
	for _, p := range f.Sidecars {
		if !p.Running() {
			continue
		}
		err := Await(ctx, fmt.Sprintf("%s at revision %d with %d backends", p.Name, revision, backends), func(ctx context.Context) bool {
			serving, ok := servingBackends(ctx, p)
			if !ok || serving != backends {
				return false
			}
			current, err := f.Revision(ctx, p)
			return err == nil && current >= revision
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// servingBackends returns the number of backends that a sidecar lists and that are not leaving. ok
// is false if the sidecar does not answer.
func servingBackends(ctx context.Context, p *Program) (count int, ok bool) {
	var nodes []sidecarNode
	if _, err := p.Get(ctx, "/v1/nodes", &nodes); err != nil {
		return 0, false
	}
	for _, node := range nodes {
		for _, backend := range node.Backends {
			if !backend.Leaving {
				count++
			}
		}
	}
	return count, true
}

// Revision returns the configuration revision that a sidecar has in force.
func (*Fleet) Revision(ctx context.Context, p *Program) (uint64, error) {
	var stats struct {
		Revision uint64 `json:"stamp"`
	}
	_, err := p.Get(ctx, "/v1/stats", &stats)
	return stats.Revision, err
}
