package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/config"
)

// TestPlanFetch checks that a control state is fetched from the sidecar with the newest one, if
// that is newer than the local one. Otherwise, nodes are fetched from the sidecar that has the most
// missing nodes.
func TestPlanFetch(t *testing.T) {
	have := &config.ControlState{Revision: 5, ConfigurationRevision: 4}
	missing := map[string][]string{"a": {"x"}, "b": {"x", "y"}, "c": nil}
	// response returns the response of a sidecar that has a revision in force.
	response := func(addr string, revision uint64) gossipResult {
		return gossipResult{addr: addr, response: &GossipResponse{Peers: []Peer{{Addr: addr, Status: &PeerStatus{AppliedRevision: revision}}}}}
	}
	outdated := func(peers []Peer) []string { return missing[peers[0].Addr] }
	for name, c := range map[string]struct {
		have     *config.ControlState
		answered []gossipResult
		addr     string
		want     Fetch
	}{
		"no response":                {have, nil, "", Fetch{Revision: 5, ConfigurationRevision: 4}},
		"nothing is missing":         {have, []gossipResult{response("c", 5)}, "", Fetch{Revision: 5, ConfigurationRevision: 4}},
		"most nodes":                 {have, []gossipResult{response("a", 5), response("b", 3), response("c", 5)}, "b", Fetch{Nodes: []string{"x", "y"}, Revision: 5, ConfigurationRevision: 4}},
		"newer state":                {have, []gossipResult{response("b", 5), response("c", 6)}, "c", Fetch{State: true, Revision: 5, ConfigurationRevision: 4}},
		"newest state and its nodes": {have, []gossipResult{response("a", 8), response("b", 6)}, "a", Fetch{Nodes: []string{"x"}, State: true, Revision: 5, ConfigurationRevision: 4}},
		"no control state yet":       {nil, []gossipResult{response("c", 1)}, "c", Fetch{State: true}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, fetch := planFetch(c.have, c.answered, outdated)
			if addr != c.addr {
				t.Errorf("got fetch from the wrong sidecar %q", addr)
			}
			if d := cmp.Diff(c.want, fetch); d != "" {
				t.Error(d)
			}
		})
	}
}
