package modelcheck

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Scenario is what is explored: who founds the cluster, who may join, whose disk may be lost,
// and the commands, each of which is submitted once, at any moment.
type Scenario struct {
	Name                           string
	Founders, Newcomers, DisksLost []string
	Commands                       []Command
}

// Command is a command that an operator, or the coordinator, submits at a node.
type Command struct {
	Name string
	Node int
	// Generation and Text are the generation and content of a configuration.
	Generation uint64
	Text       string
	// Joins is the address of the node that is to be added, Leaves the ID of the member that
	// is to be removed. Without either the command puts a configuration.
	Joins  string
	Leaves int
	// AfterDiskLoss has the command wait until a disk was lost.
	AfterDiskLoss bool
}

// command is what the proposer is given. A change of members is based on the member set that
// the node knows of.
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

// The scenarios: two operators race with one generation, a configuration is repeated, a fourth
// member is added beside a configuration, a live member is replaced, and one whose disk was
// lost is replaced.
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
		{Name: "replace", Node: 1, Joins: "c", Leaves: 3, AfterDiskLoss: true},
	}}
)

// Run is a scenario with the bounds of its exploration.
type Run struct {
	Scenario
	Bounds
}

// ShortRuns are run by the tests, LongRuns by tests/cmd/modelcheck. A run without a depth is
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
