package modelcheck

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// Scenario is a cluster to explore: the addresses of its initial members, of the nodes that may
// join and of the nodes whose disks may be lost, and the commands. Each command is submitted at most
// once, at any time.
type Scenario struct {
	Name                           string
	Founders, Newcomers, DisksLost []string
	Commands                       []Command
}

// Command is a command that an operator or the coordinator submits at a node.
type Command struct {
	Name string
	Node int
	// Generation and Text are the generation and content of a configuration.
	Generation uint64
	Text       string
	// Joins is the address of the node to add, and Leaves is the ID of the member to remove. If
	// neither is set, the command puts a configuration.
	Joins  string
	Leaves int
	// AfterDiskLoss delays the command until a disk has been lost.
	AfterDiskLoss bool
}

// command returns the command that is passed to the proposer. A membership change is based on the
// node's current member set.
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

// The scenarios that are explored.
var (
	// RaceScenario has two operators that submit different configurations of one generation.
	RaceScenario = Scenario{Name: "race", Founders: founders, Commands: []Command{
		{Name: "first", Node: 0, Generation: 1, Text: "x"},
		{Name: "second", Node: 1, Generation: 1, Text: "y"},
	}}
	// RepeatScenario has a configuration that is submitted twice.
	RepeatScenario = Scenario{Name: "repeat", Founders: founders, Commands: []Command{
		{Name: "put", Node: 0, Generation: 1, Text: "x"},
		{Name: "repeat", Node: 1, Generation: 1, Text: "x"},
	}}
	// GrowScenario adds a fourth member while a configuration is submitted.
	GrowScenario = Scenario{Name: "grow", Founders: founders, Newcomers: []string{"d"}, Commands: []Command{
		{Name: "put", Node: 0, Generation: 1, Text: "x"},
		{Name: "add", Node: 1, Joins: "d"},
	}}
	// ReplaceScenario replaces a live member while a configuration is submitted.
	ReplaceScenario = Scenario{Name: "replace", Founders: founders, Newcomers: []string{"d"}, Commands: []Command{
		{Name: "put", Node: 0, Generation: 1, Text: "x"},
		{Name: "replace", Node: 1, Joins: "d", Leaves: 3},
	}}
	// DiskLossScenario replaces a member whose disk was lost.
	DiskLossScenario = Scenario{Name: "disk-loss", Founders: founders, DisksLost: []string{"c"}, Commands: []Command{
		{Name: "put", Node: 0, Generation: 1, Text: "x"},
		{Name: "replace", Node: 1, Joins: "c", Leaves: 3, AfterDiskLoss: true},
	}}
)

// Run is a scenario with the bounds of its exploration.
type Run struct {
	Scenario
	Bounds
}

// The tests explore ShortRuns, and tests/cmd/modelcheck explores LongRuns. A run without a depth is
// exhaustive under its bounds.
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
