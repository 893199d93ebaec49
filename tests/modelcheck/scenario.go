package modelcheck

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Scenario is what is explored: who founds the system, who may come, whose disk may be
// lost, and the orders that operators give, each once, at any moment.
type Scenario struct {
	Name                       string
	Founders, Newcomers, Wiped []string
	Orders                     []Given
}

// Given is an order that an operator, or the core on duty, gives at a node.
type Given struct {
	Name string
	Node int
	// Generation and Text are a configuration's number and bytes.
	Generation uint64
	Text       string
	// Comes is the address of whoever is to have a seat, Goes the slot that is to go.
	Comes string
	Goes  int
	// AfterWipe has it wait until a disk was lost.
	AfterWipe bool
}

// order is what the proposer is given: a change of the set is decided on the set that the
// node knows of.
func (g Given) order(s *state) consensus.Command {
	if g.Comes == "" && g.Goes == 0 {
		return consensus.Command{Kind: consensus.CommandPutConfiguration, Generation: g.Generation, Payload: []byte(g.Text)}
	}
	v := s.nodes[g.Node].memory
	set := v.MemberSets().Current
	o := consensus.Command{Kind: consensus.CommandReconfigure, ExpectedMembers: set, Leaving: g.Goes}
	if g.Comes != "" {
		o.Joining = config.Member{MemberID: max(v.State.HighestMemberID, set[len(set)-1].MemberID) + 1, DiskID: s.nodes[s.at(g.Comes)].memory.Self.DiskID, Addr: g.Comes}
	}
	return o
}

var three = []string{"a", "b", "c"}

// The scenarios: two operators with one number, a change to a fourth beside an order, a
// member swapped for a newcomer though it lives, and one whose disk is lost.
var (
	Race = Scenario{Name: "race", Founders: three, Orders: []Given{
		{Name: "one", Node: 0, Generation: 1, Text: "x"},
		{Name: "other", Node: 1, Generation: 1, Text: "y"},
	}}
	Repeat = Scenario{Name: "repeat", Founders: three, Orders: []Given{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "repeat", Node: 1, Generation: 1, Text: "x"},
	}}
	Grow = Scenario{Name: "grow", Founders: three, Newcomers: []string{"d"}, Orders: []Given{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "grow", Node: 1, Comes: "d"},
	}}
	Swap = Scenario{Name: "swap", Founders: three, Newcomers: []string{"d"}, Orders: []Given{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "swap", Node: 1, Comes: "d", Goes: 3},
	}}
	Wiped = Scenario{Name: "wiped", Founders: three, Wiped: []string{"c"}, Orders: []Given{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "reseat", Node: 1, Comes: "c", Goes: 3, AfterWipe: true},
	}}
)

// Run is a scenario with its bounds.
type Run struct {
	Scenario
	Bounds
}

// Short are the runs of CI, Long those of tests/cmd/modelcheck. A run without a depth is
// exhaustive.
var (
	Short = []Run{
		{Race, Bounds{Crashes: 1}},
		{Repeat, Bounds{Timeouts: 1, Depth: 10}},
		{Grow, Bounds{Depth: 11}},
		{Swap, Bounds{Depth: 11}},
		{Wiped, Bounds{Wiped: 1, Depth: 12}},
		{Race, Bounds{Looks: 1, Depth: 10}},
		{Swap, Bounds{Looks: 1, Depth: 9}},
		{Wiped, Bounds{Wiped: 1, Looks: 1, Depth: 9}},
	}
	Long = []Run{
		{Race, Bounds{Crashes: 1}},
		{Race, Bounds{Timeouts: 1, Doubled: 1}},
		{Race, Bounds{Crashes: 1, Timeouts: 2}},
		{Repeat, Bounds{Timeouts: 1}},
		{Repeat, Bounds{Crashes: 1, Timeouts: 1}},
		{Grow, Bounds{}},
		{Grow, Bounds{Crashes: 1, Timeouts: 1}},
		{Swap, Bounds{}},
		{Swap, Bounds{Crashes: 1, Timeouts: 1}},
		{Wiped, Bounds{Wiped: 1}},
		{Wiped, Bounds{Wiped: 1, Crashes: 1, Timeouts: 1}},
		{Race, Bounds{Looks: 1}},
		{Race, Bounds{Looks: 1, Crashes: 1, Timeouts: 1}},
		{Grow, Bounds{Looks: 1}},
		{Swap, Bounds{Looks: 1}},
		{Wiped, Bounds{Wiped: 1, Looks: 1}},
	}
)
