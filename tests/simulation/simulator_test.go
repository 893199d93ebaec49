package simulation

import (
	"flag"
	"testing"
	"time"
)

var (
	seeds = flag.Int("seeds", 60, "how many seeds to run")
	first = flag.Uint64("first", 1, "the first seed")
)

// The register under lost, late, doubled and reordered messages, kills at the
// disk, herds, lost disks, splits and freezes, with operators racing: nothing
// acknowledged is lost, no stamp stands for two words, no read is old, and it
// serves again within 15 s. What operators were told fits one order of their calls. Two number their configurations alike: one number stands for
// one configuration, which is never refused; no old copy of an order on a zone undoes
// a newer one.
func TestConsensus(t *testing.T) {
	var acked, reads, refused, swaps, kills int
	var operators Operators
	var histories historyCounts
	for _, members := range []int{3, 5} {
		for seed := *first; seed < *first+uint64(*seeds); seed++ {
			sim := NewConsensus(seed, members, HarshFaults)
			if *seeds == 1 {
				sim.Trace = func(s string) { t.Log(s) }
			}
			sim.Run()
			for i, b := range sim.Violations {
				if i < 3 {
					t.Errorf("seed %d with %d slots: %s", seed, members, b)
				}
			}
			if len(sim.Violations) > 0 {
				t.Errorf("replay: go test ./tests/simulation -run TestRegister -first %d -seeds 1", seed)
			}
			histories.check(t, seed, sim)
			operators.add(sim.Operators)
			acked, reads, refused, swaps, kills = acked+sim.Acked, reads+sim.Reads, refused+sim.Refused, swaps+sim.DiskLosses, kills+sim.Kills
		}
	}
	histories.checkJudged(t, 10)
	t.Logf("%d writes acknowledged, %d refused, %d reads, %d swaps, %d kills; two operators: %s", acked, refused, reads, swaps, kills, operators)
	if acked == 0 || reads == 0 || swaps == 0 || refused == 0 || operators.incomplete() {
		t.Error("the faults or the work did not come about")
	}
}

// Claims under delays up to seconds, losses, cuts and freezes of cores and
// sidecars, and, in every other seed, the death of all cores: whoever admits does
// so at most 4 s after a word that it has not heard was acknowledged.
func TestServingLeases(t *testing.T) {
	admitted, admittedByPeers, lapsed, unacknowledged := 0, 0, 0, 0
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		for _, size := range []struct{ cores, sides int }{{3, 5}, {5, 5}, {3, 16}} {
			sim := NewServingLeases(seed, size.cores, size.sides)
			sim.Run(60 * time.Second)
			for i, b := range sim.Violations {
				if i < 3 {
					t.Errorf("seed %d with %+v: %s", seed, size, b)
				}
			}
			if len(sim.Violations) > 0 {
				t.Errorf("replay: go test ./tests/simulation -run TestClaims -first %d -seeds 1", seed)
			}
			admitted, admittedByPeers, lapsed, unacknowledged = admitted+sim.Admitted, admittedByPeers+sim.AdmittedByPeers, lapsed+sim.Lapsed, unacknowledged+sim.Unacknowledged
		}
	}
	t.Logf("admitted %d times, by roll call %d, lapsed %d; beside a word that most sidecars had not taken when the cores died %d", admitted, admittedByPeers, lapsed, unacknowledged)
	if admitted == 0 || admittedByPeers == 0 || lapsed == 0 {
		t.Error("the failures or the work did not come about")
	}
}

// Orders through lost, late and doubled messages, kills and freezes: none runs
// twice, none that was promised not to run does, and no answer is another's. A key
// outlives its sidecar, and a holder beside it.
func TestRequests(t *testing.T) {
	var sum Requests
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		for _, nodes := range []int{4, 6} {
			sim := NewRequests(seed, nodes)
			sim.Run(20 * time.Second)
			for i, b := range sim.Violations {
				if i < 3 {
					t.Errorf("seed %d with %d nodes: %s", seed, nodes, b)
				}
			}
			if len(sim.Violations) > 0 {
				t.Errorf("replay: go test ./tests/simulation -run TestLegs -first %d -seeds 1", seed)
			}
			sum.Sent, sum.Ran, sum.Answered, sum.NotRun = sum.Sent+sim.Sent, sum.Ran+sim.Ran, sum.Answered+sim.Answered, sum.NotRun+sim.NotRun
			sum.Unknown, sum.Kills, sum.Retries = sum.Unknown+sim.Unknown, sum.Kills+sim.Kills, sum.Retries+sim.Retries
		}
	}
	t.Logf("%d orders sent, %d repeats, %d ran; %d answered, %d not run, %d unknown; %d kills", sum.Sent, sum.Retries, sum.Ran, sum.Answered, sum.NotRun, sum.Unknown, sum.Kills)
	if sum.Ran == 0 || sum.NotRun == 0 || sum.Unknown == 0 || sum.Kills == 0 || sum.Retries == 0 {
		t.Error("the failures or the work did not come about")
	}
}

// Membership, feed and following through losses, delays, cuts, freezes and kills
// of cores and sidecars: no sidecar goes back to an older word; once all is whole,
// each has the newest in force within 2 s, and soon knows just the nodes that live.
func TestMembership(t *testing.T) {
	var sum Membership
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		for _, cores := range []int{3, 5} {
			sim := NewMembership(seed, cores, 7)
			sim.Run()
			for i, b := range sim.Violations {
				if i < 3 {
					t.Errorf("seed %d with %d cores: %s", seed, cores, b)
				}
			}
			if len(sim.Violations) > 0 {
				t.Errorf("replay: go test ./tests/simulation -run TestMembers -first %d -seeds 1", seed)
			}
			sum.Revisions, sum.Suspected, sum.Refuted, sum.Redirected = sum.Revisions+sim.Revisions, sum.Suspected+sim.Suspected, sum.Refuted+sim.Refuted, sum.Redirected+sim.Redirected
			sum.DeltaHeartbeats, sum.FullHeartbeats = sum.DeltaHeartbeats+sim.DeltaHeartbeats, sum.FullHeartbeats+sim.FullHeartbeats
			sum.Patched, sum.Unreadable = sum.Patched+sim.Patched, sum.Unreadable+sim.Unreadable
		}
	}
	t.Logf("%d words, %d accusations told, %d refuted, %d times another core was followed, %d short heartbeats, %d asked for whole, %d words told by differences, %d of them in vain",
		sum.Revisions, sum.Suspected, sum.Refuted, sum.Redirected, sum.DeltaHeartbeats, sum.FullHeartbeats, sum.Patched, sum.Unreadable)
	if sum.Patched == 0 || sum.Revisions == 0 || sum.Suspected == 0 || sum.Refuted == 0 || sum.Redirected == 0 || sum.DeltaHeartbeats == 0 || sum.FullHeartbeats == 0 {
		t.Error("the failures or the work did not come about")
	}
}

// The same without static seats: founders are born at once, cores come, go for good,
// are swapped by empty ones at other addresses, or wiped, singly and as many at once
// as a minority allows, also as all others lose power. Nothing acknowledged is lost;
// in the end all cores that live have seats, and it serves.
func TestMembershipChanges(t *testing.T) {
	var sum Consensus
	var operators Operators
	var histories historyCounts
	sizes := []int{1, 2, 3, 4, 5, 11}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		for i := range uint64(2) {
			founders := sizes[(2*seed+i)%uint64(len(sizes))]
			sim := NewDynamicMembership(seed, founders, MembershipFaults)
			if *seeds == 1 {
				sim.Trace = func(s string) { t.Log(s) }
			}
			sim.Run()
			for i, b := range sim.Violations {
				if i < 3 {
					t.Errorf("seed %d with %d founders: %s", seed, founders, b)
				}
			}
			if len(sim.Violations) > 0 {
				t.Errorf("replay: go test ./tests/simulation -run TestSlots -first %d -seeds 1", seed)
			}
			histories.check(t, seed, sim)
			sum.Acked, sum.Reads, sum.Kills, sum.DiskLosses, sum.Joins = sum.Acked+sim.Acked, sum.Reads+sim.Reads, sum.Kills+sim.Kills, sum.DiskLosses+sim.DiskLosses, sum.Joins+sim.Joins
			sum.SlowestRejoin = max(sum.SlowestRejoin, sim.SlowestRejoin)
			operators.add(sim.Operators)
			sum.Grown, sum.Shrunk, sum.Replaced, sum.Removed, sum.Blackouts = sum.Grown+sim.Grown, sum.Shrunk+sim.Shrunk, sum.Replaced+sim.Replaced, sum.Removed+sim.Removed, sum.Blackouts+sim.Blackouts
		}
	}
	histories.checkJudged(t, 5)
	t.Logf("%d writes acknowledged, %d reads, %d kills, %d disks lost, %d joined, %d grown, %d shrunk, %d swapped, %d struck, %d blackouts; all had seats %v after the first 15 s at the latest; two operators: %s",
		sum.Acked, sum.Reads, sum.Kills, sum.DiskLosses, sum.Joins, sum.Grown, sum.Shrunk, sum.Replaced, sum.Removed, sum.Blackouts, sum.SlowestRejoin, operators)
	if sum.Acked == 0 || sum.Grown == 0 || sum.Shrunk == 0 || sum.Replaced == 0 || sum.Removed == 0 || sum.Blackouts == 0 || operators.incomplete() {
		t.Error("the faults or the work did not come about")
	}
}

// A second loss: as many cores as the set bears are lost at once, come back or are
// replaced, and 4 s later as many others, in a row, and right after planned replacements.
// Each time orders and reads go on, nothing acknowledged is lost, and in those 4 s all
// cores are full members of a set that bears the next loss.
func TestSecondLoss(t *testing.T) {
	lost, planned, slowest := 0, 0, time.Duration(0)
	var histories historyCounts
	const share = 10 // a seed is four runs of six rounds
	for seed := *first; seed < *first+uint64(*seeds+share-1)/share; seed++ {
		for _, size := range []int{3, 4, 5, 11} {
			sim := NewLosses(seed, size)
			if *seeds == 1 {
				sim.Trace = func(s string) { t.Log(s) }
			}
			sim.Run(6)
			histories.check(t, seed, sim.Consensus)
			for _, b := range sim.Violations {
				t.Errorf("seed %d with %d cores: %s", seed, size, b)
			}
			if len(sim.Violations) > 0 {
				t.Errorf("replay: go test ./tests/simulation -run TestSecondLoss -first %d -seeds 1", seed)
			}
			lost, planned, slowest = lost+sim.LostReplicas, planned+sim.PlannedReplacements, max(slowest, sim.Slowest)
		}
	}
	t.Logf("%d cores lost, %d replaced as planned; orders and reads waited %v at most", lost, planned, slowest)
	if lost == 0 || planned == 0 {
		t.Error("the losses did not come about")
	}
	histories.checkJudged(t, 10)
}
