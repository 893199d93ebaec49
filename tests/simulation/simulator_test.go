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

// forEachSeed calls run for each seed that the flags choose.
func forEachSeed(run func(seed uint64)) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		run(seed)
	}
}

// checkViolations fails the test if a run has violations: it prints the first ones, and the
// command that repeats the run. format and args say what else tells the run from others.
func checkViolations(t *testing.T, violations []string, seed uint64, format string, args ...any) {
	t.Helper()
	const printed = 3
	for _, violation := range violations[:min(len(violations), printed)] {
		t.Errorf("seed %d with "+format+": %s", append(append([]any{seed}, args...), violation)...)
	}
	if len(violations) > 0 {
		t.Errorf("repeat: go test ./tests/simulation -run %s -first %d -seeds 1", t.Name(), seed)
	}
}

// traceSingle has a run log its steps if it is the only one.
func traceSingle(t *testing.T, sim *Consensus) {
	if *seeds == 1 {
		sim.Trace = func(line string) { t.Log(line) }
	}
}

// The replicated state under lost, late, duplicated and reordered messages, kills during
// writes to disk, kills of all replicas, lost disks, partitions and freezes, with operators
// that race: nothing acknowledged is lost, no revision has two contents, no read is stale,
// and it serves again within 15 s. The answers to the operators fit one order of their calls.
// A generation has one configuration, which is never refused; no old copy of a command on a
// zone undoes a newer one.
func TestConsensus(t *testing.T) {
	var acked, reads, refused, lost, kills int
	var operators Operators
	var histories historyCounts
	for _, members := range []int{3, 5} {
		forEachSeed(func(seed uint64) {
			sim := NewConsensus(seed, members, HarshFaults)
			traceSingle(t, sim)
			sim.Run()
			checkViolations(t, sim.Violations, seed, "%d members", members)
			histories.check(t, seed, sim)
			operators.add(sim.Operators)
			acked, reads, refused, lost, kills = acked+sim.Acked, reads+sim.Reads, refused+sim.Refused, lost+sim.DiskLosses, kills+sim.Kills
		})
	}
	histories.checkJudged(t, 10)
	t.Logf("%d writes acknowledged, %d refused, %d reads, %d disks lost, %d kills; two operators: %s", acked, refused, reads, lost, kills, operators)
	if acked == 0 || reads == 0 || lost == 0 || refused == 0 || operators.incomplete() {
		t.Error("the faults or the work did not come about")
	}
}

// Serving leases under delays up to seconds, losses, partitions and freezes of replicas and
// sidecars and, with every other seed, the death of all replicas: a sidecar admits requests
// for at most 4 s after a revision that it lacks was committed.
func TestServingLeases(t *testing.T) {
	admitted, admittedByPeers, lapsed, unconfirmed := 0, 0, 0, 0
	forEachSeed(func(seed uint64) {
		for _, size := range []struct{ replicas, sidecars int }{{3, 5}, {5, 5}, {3, 16}} {
			sim := NewServingLeases(seed, size.replicas, size.sidecars)
			sim.Run(60 * time.Second)
			checkViolations(t, sim.Violations, seed, "%+v", size)
			admitted, admittedByPeers, lapsed, unconfirmed = admitted+sim.Admitted, admittedByPeers+sim.AdmittedByPeers, lapsed+sim.Lapsed, unconfirmed+sim.Unconfirmed
		}
	})
	t.Logf("admitted %d times, confirmed by other sidecars %d, lapsed %d; at a revision older than one that most sidecars had not applied when the replicas died %d", admitted, admittedByPeers, lapsed, unconfirmed)
	if admitted == 0 || admittedByPeers == 0 || lapsed == 0 {
		t.Error("the faults or the work did not come about")
	}
}

// Requests under lost, late and duplicated messages, kills and freezes: none runs twice, none
// that was promised not to run does, and no answer belongs to another request. A key survives
// its sidecar, and one replica beside it.
func TestRequests(t *testing.T) {
	var sum Requests
	forEachSeed(func(seed uint64) {
		for _, nodes := range []int{4, 6} {
			sim := NewRequests(seed, nodes)
			sim.Run(20 * time.Second)
			checkViolations(t, sim.Violations, seed, "%d nodes", nodes)
			sum.Sent, sum.Ran, sum.Answered, sum.NotRun = sum.Sent+sim.Sent, sum.Ran+sim.Ran, sum.Answered+sim.Answered, sum.NotRun+sim.NotRun
			sum.Unknown, sum.Kills, sum.Retries = sum.Unknown+sim.Unknown, sum.Kills+sim.Kills, sum.Retries+sim.Retries
		}
	})
	t.Logf("%d requests sent, %d retries, %d ran; %d answered, %d not run, %d unknown; %d kills", sum.Sent, sum.Retries, sum.Ran, sum.Answered, sum.NotRun, sum.Unknown, sum.Kills)
	if sum.Ran == 0 || sum.NotRun == 0 || sum.Unknown == 0 || sum.Kills == 0 || sum.Retries == 0 {
		t.Error("the faults or the work did not come about")
	}
}

// Membership and watch under losses, delays, partitions, freezes and kills of replicas and
// sidecars: no sidecar goes back to an older revision; after recovery each has applied the
// newest within 2 s, and soon knows exactly the nodes that are up.
func TestMembership(t *testing.T) {
	var sum Membership
	forEachSeed(func(seed uint64) {
		for _, replicas := range []int{3, 5} {
			sim := NewMembership(seed, replicas, 7)
			sim.Run()
			checkViolations(t, sim.Violations, seed, "%d replicas", replicas)
			sum.Revisions, sum.Suspected, sum.Refuted, sum.Redirected = sum.Revisions+sim.Revisions, sum.Suspected+sim.Suspected, sum.Refuted+sim.Refuted, sum.Redirected+sim.Redirected
			sum.DeltaHeartbeats, sum.FullHeartbeats = sum.DeltaHeartbeats+sim.DeltaHeartbeats, sum.FullHeartbeats+sim.FullHeartbeats
			sum.Patched, sum.Unreadable = sum.Patched+sim.Patched, sum.Unreadable+sim.Unreadable
		}
	})
	t.Logf("%d revisions, %d suspicions sent, %d refuted, another replica was watched %d times, %d heartbeats by difference, %d requested in full, %d states sent as a patch, %d of them in vain",
		sum.Revisions, sum.Suspected, sum.Refuted, sum.Redirected, sum.DeltaHeartbeats, sum.FullHeartbeats, sum.Patched, sum.Unreadable)
	if sum.Patched == 0 || sum.Revisions == 0 || sum.Suspected == 0 || sum.Refuted == 0 || sum.Redirected == 0 || sum.DeltaHeartbeats == 0 || sum.FullHeartbeats == 0 {
		t.Error("the faults or the work did not come about")
	}
}

// The replicated state without static members: founders bootstrap at once, and replicas join,
// leave for good, are replaced at other addresses or lose their disks, singly and as many at
// once as a minority allows, also while all others lose power. Nothing acknowledged is lost;
// in the end all replicas that are up are members, and it serves.
func TestMembershipChanges(t *testing.T) {
	var sum Consensus
	var operators Operators
	var histories historyCounts
	sizes := []int{1, 2, 3, 4, 5, 11}
	forEachSeed(func(seed uint64) {
		for i := range uint64(2) {
			founders := sizes[(2*seed+i)%uint64(len(sizes))]
			sim := NewDynamicMembership(seed, founders, MembershipFaults)
			traceSingle(t, sim)
			sim.Run()
			checkViolations(t, sim.Violations, seed, "%d founders", founders)
			histories.check(t, seed, sim)
			operators.add(sim.Operators)
			sum.Acked, sum.Reads, sum.Kills, sum.DiskLosses, sum.Joins = sum.Acked+sim.Acked, sum.Reads+sim.Reads, sum.Kills+sim.Kills, sum.DiskLosses+sim.DiskLosses, sum.Joins+sim.Joins
			sum.SlowestRejoin = max(sum.SlowestRejoin, sim.SlowestRejoin)
			sum.Grown, sum.Shrunk, sum.Replaced, sum.Removed, sum.Blackouts = sum.Grown+sim.Grown, sum.Shrunk+sim.Shrunk, sum.Replaced+sim.Replaced, sum.Removed+sim.Removed, sum.Blackouts+sim.Blackouts
		}
	})
	histories.checkJudged(t, 5)
	t.Logf("%d writes acknowledged, %d reads, %d kills, %d disks lost, %d joined, %d grown, %d shrunk, %d replaced, %d removed, %d blackouts; all were members %v after the first 15 s at the latest; two operators: %s",
		sum.Acked, sum.Reads, sum.Kills, sum.DiskLosses, sum.Joins, sum.Grown, sum.Shrunk, sum.Replaced, sum.Removed, sum.Blackouts, sum.SlowestRejoin, operators)
	if sum.Acked == 0 || sum.Grown == 0 || sum.Shrunk == 0 || sum.Replaced == 0 || sum.Removed == 0 || sum.Blackouts == 0 || operators.incomplete() {
		t.Error("the faults or the work did not come about")
	}
}

// As many replicas as the member set tolerates are lost at once, come back or are replaced,
// and 4 s later as many others are lost, also right after a planned replacement. Each time
// writes and reads go on, nothing acknowledged is lost, and within those 4 s all replicas are
// full members of a set that tolerates the next loss.
func TestSecondLoss(t *testing.T) {
	lost, planned, slowest := 0, 0, time.Duration(0)
	var histories historyCounts
	const share = 10 // a seed is four runs of six rounds, so one of ten seeds is run
	for seed := *first; seed < *first+uint64(*seeds+share-1)/share; seed++ {
		for _, size := range []int{3, 4, 5, 11} {
			sim := NewLosses(seed, size)
			traceSingle(t, sim.Consensus)
			sim.Run(6)
			histories.check(t, seed, sim.Consensus)
			checkViolations(t, sim.Violations, seed, "%d replicas", size)
			lost, planned, slowest = lost+sim.LostReplicas, planned+sim.PlannedReplacements, max(slowest, sim.Slowest)
		}
	}
	t.Logf("%d replicas lost, %d replaced as planned; writes and reads waited %v at most", lost, planned, slowest)
	if lost == 0 || planned == 0 {
		t.Error("the losses did not come about")
	}
	histories.checkJudged(t, 10)
}
