package modelcheck

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Scenario is what is explored: who founds the system, who may come, whose disk may be
// lost, and the orders that operators give, each once, at any moment.
type Scenario struct {
	Name                           string
	Founders, Newcomers, DisksLost []string
	Commands                       []Command
}

// Command is an order that an operator, or the core on duty, gives at a node.
type Command struct {
	Name string
	Node int
	// Generation and Text are a configuration's number and bytes.
	Generation uint64
	Text       string
	// Joins is the address of whoever is to have a seat, Goes the slot that is to go.
	Joins  string
	Leaves int
	// AfterDiskLoss has it wait until a disk was lost.
	AfterDiskLoss bool
}

// command is what the proposer is given: a change of the set is decided on the set that the
// node knows of.
func (c Command) command(s *state) consensus.Command {
	if c.Joins == "" && c.Leaves == 0 {
		return consensus.Command{Kind: consensus.CommandPutConfiguration, Generation: c.Generation, Payload: []byte(c.Text)}
	}
	acceptor := s.nodes[c.Node].memory
	set := acceptor.MemberSets().Current
	command := consensus.Command{Kind: consensus.CommandReconfigure, ExpectedMembers: set, Leaving: c.Leaves}
	if c.Joins != "" {
		command.Joining = config.Member{MemberID: max(acceptor.State.HighestMemberID, set[len(set)-1].MemberID) + 1, DiskID: s.nodes[s.nodeAt(c.Joins)].memory.Self.DiskID, Addr: c.Joins}
	}
	return command
}

var founders = []string{"a", "b", "c"}

// The scenarios: two operators with one number, a change to a fourth beside an order, a
// member swapped for a newcomer though it lives, and one whose disk is lost.
var (
	RaceScenario = Scenario{Name: "race", Founders: founders, Commands: []Command{
		{Name: "one", Node: 0, Generation: 1, Text: "x"},
		{Name: "other", Node: 1, Generation: 1, Text: "y"},
	}}
	RepeatScenario = Scenario{Name: "repeat", Founders: founders, Commands: []Command{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "repeat", Node: 1, Generation: 1, Text: "x"},
	}}
	GrowScenario = Scenario{Name: "grow", Founders: founders, Newcomers: []string{"d"}, Commands: []Command{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "grow", Node: 1, Joins: "d"},
	}}
	ReplaceScenario = Scenario{Name: "swap", Founders: founders, Newcomers: []string{"d"}, Commands: []Command{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "swap", Node: 1, Joins: "d", Leaves: 3},
	}}
	DiskLossScenario = Scenario{Name: "wiped", Founders: founders, DisksLost: []string{"c"}, Commands: []Command{
		{Name: "order", Node: 0, Generation: 1, Text: "x"},
		{Name: "reseat", Node: 1, Joins: "c", Leaves: 3, AfterDiskLoss: true},
	}}
)

// Run is a scenario with its bounds.
type Run struct {
	Scenario
	Bounds
}

// ShortRuns are the runs of CI, Long those of tests/cmd/modelcheck. A run without a depth is
// exhaustive.
var (
	ShortRuns = []Run{
		{RaceScenario, Bounds{Crashes: 1}},
		{RepeatScenario, Bounds{Timeouts: 1, Depth: 10}},
		{GrowScenario, Bounds{Depth: 11}},
		{ReplaceScenario, Bounds{Depth: 11}},
		{DiskLossScenario, Bounds{DisksLost: 1, Depth: 12}},
		{RaceScenario, Bounds{QuorumReads: 1, Depth: 10}},
		{ReplaceScenario, Bounds{QuorumReads: 1, Depth: 9}},
		{DiskLossScenario, Bounds{DisksLost: 1, QuorumReads: 1, Depth: 9}},
	}
	LongRuns = []Run{
		{RaceScenario, Bounds{Crashes: 1}},
		{RaceScenario, Bounds{Timeouts: 1, Duplicated: 1}},
		{RaceScenario, Bounds{Crashes: 1, Timeouts: 2}},
		{RepeatScenario, Bounds{Timeouts: 1}},
		{RepeatScenario, Bounds{Crashes: 1, Timeouts: 1}},
		{GrowScenario, Bounds{}},
		{GrowScenario, Bounds{Crashes: 1, Timeouts: 1}},
		{ReplaceScenario, Bounds{}},
		{ReplaceScenario, Bounds{Crashes: 1, Timeouts: 1}},
		{DiskLossScenario, Bounds{DisksLost: 1}},
		{DiskLossScenario, Bounds{DisksLost: 1, Crashes: 1, Timeouts: 1}},
		{RaceScenario, Bounds{QuorumReads: 1}},
		{RaceScenario, Bounds{QuorumReads: 1, Crashes: 1, Timeouts: 1}},
		{GrowScenario, Bounds{QuorumReads: 1}},
		{ReplaceScenario, Bounds{QuorumReads: 1}},
		{DiskLossScenario, Bounds{DisksLost: 1, QuorumReads: 1}},
	}
)
