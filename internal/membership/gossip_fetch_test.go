package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/config"
)

// A control state is fetched from the sidecar with the newest one, if that is newer than the own
// one; else nodes are fetched from the sidecar that has most of those that are lacking.
func TestPlanFetch(t *testing.T) {
	have := &config.ControlState{Revision: 5, ConfigurationRevision: 4}
	lacking := map[string][]string{"a": {"x"}, "b": {"x", "y"}, "c": nil}
	// response is one of a sidecar that has a revision in force.
	response := func(addr string, revision uint64) gossipResult {
		return gossipResult{addr: addr, response: &GossipResponse{Peers: []Peer{{Addr: addr, Status: &PeerStatus{AppliedRevision: revision}}}}}
	}
	outdated := func(peers []Peer) []string { return lacking[peers[0].Addr] }
	for name, c := range map[string]struct {
		have     *config.ControlState
		answered []gossipResult
		addr     string
		want     Fetch
	}{
		"no response":                {have, nil, "", Fetch{Revision: 5, ConfigurationRevision: 4}},
		"nothing is lacking":         {have, []gossipResult{response("c", 5)}, "", Fetch{Revision: 5, ConfigurationRevision: 4}},
		"most nodes":                 {have, []gossipResult{response("a", 5), response("b", 3), response("c", 5)}, "b", Fetch{Nodes: []string{"x", "y"}, Revision: 5, ConfigurationRevision: 4}},
		"newer state":                {have, []gossipResult{response("b", 5), response("c", 6)}, "c", Fetch{State: true, Revision: 5, ConfigurationRevision: 4}},
		"newest state and its nodes": {have, []gossipResult{response("a", 8), response("b", 6)}, "a", Fetch{Nodes: []string{"x"}, State: true, Revision: 5, ConfigurationRevision: 4}},
		"no control state yet":       {nil, []gossipResult{response("c", 1)}, "c", Fetch{State: true}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, fetch := planFetch(c.have, c.answered, outdated)
			if addr != c.addr {
				t.Errorf("fetches from %q", addr)
			}
			if d := cmp.Diff(c.want, fetch); d != "" {
				t.Error(d)
			}
		})
	}
}
