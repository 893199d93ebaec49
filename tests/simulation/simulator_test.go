package simulation

import (
	"flag"
	"testing"
	"time"
)

var (
	seeds = flag.Int("seeds", 60, "number of seeds to run")
	first = flag.Uint64("first", 1, "the first seed")
)

// forEachSeed calls run for each seed that the flags select.
func forEachSeed(run func(seed uint64)) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		run(seed)
	}
}

// checkViolations fails the test if a simulation has violations. It prints the first ones and the
// command that repeats the simulation. format and args describe the parameters other than the seed.
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

// traceSingle logs the steps of a simulation if the flags select a single seed.
func traceSingle(t *testing.T, sim *Consensus) {
	if *seeds == 1 {
		sim.Trace = func(line string) { t.Log(line) }
	}
}

// TestConsensus guards against lost acknowledged writes, revisions with two contents, stale reads
// and failure to serve again after the last fault. The check for the latter starts 15 s after that
// fault. Messages are lost, delayed, duplicated and reordered. Replicas are killed, also all at
// once and during disk writes. They lose their disks, and are partitioned and paused. Two operators
// submit conflicting commands. The operators' calls must be linearizable. A generation must have a
// single configuration, which is never refused. No delayed copy of a command on a zone may undo a
// newer command.
func TestConsensus(t *testing.T) {
	var acked, reads, refused, lost, kills int
	var operators Operators
	var histories historyCounts
	for _, members := range []int{3, 5} {
		forEachSeed(func(seed uint64) {
			sim := NewConsensus(seed, members, StaticMembershipFaults)
			traceSingle(t, sim)
			sim.Run()
			checkViolations(t, sim.Violations, seed, "%d members", members)
			histories.check(t, seed, sim)
			operators.add(sim.Operators)
			acked, reads, refused, lost, kills = acked+sim.Acked, reads+sim.Reads, refused+sim.Refused, lost+sim.DiskLosses, kills+sim.Kills
		})
	}
	histories.checkCoverage(t, 10)
	t.Logf("%d writes acknowledged, %d refused, %d reads, %d disks lost, %d kills; two operators: %s", acked, refused, reads, lost, kills, operators)
	if acked == 0 || reads == 0 || lost == 0 || refused == 0 || operators.incomplete() {
		t.Error("a count of faults or of work is zero, so a case was not exercised")
	}
}

// TestServingLeases guards against a sidecar that admits requests more than 4 s after the commit of
// a revision that it has not applied. Messages are delayed by up to seconds and lost, replicas and
// sidecars are partitioned and paused, and with every other seed all replicas lose power
// permanently.
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
	t.Logf("%d admissions under a lease from a replica, %d under a lease from other sidecars, %d checks without a lease; %d times a revision that no majority of the sidecars had confirmed was missing at an admission", admitted, admittedByPeers, lapsed, unconfirmed)
	if admitted == 0 || admittedByPeers == 0 || lapsed == 0 {
		t.Error("a count of faults or of work is zero, so a case was not exercised")
	}
}

// TestRequests guards against a request that runs twice, a request that runs after its answer said
// that it was not run, and an answer to another request. Messages are lost, delayed and duplicated,
// and sidecars are killed and paused. An idempotency key must survive the loss of its sidecar and
// of one of its replicas.
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
		t.Error("a count of faults or of work is zero, so a case was not exercised")
	}
}

// TestMembership guards against sidecars that return to an older revision, or that do not converge
// once faults stop. Messages are lost and delayed, and replicas and sidecars are partitioned,
// paused and killed. Each sidecar must have applied the newest revision once the startup delay of a
// replica plus 2 s have passed since the faults stopped. It must list exactly the existing nodes 8 s
// after the faults stopped.
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
	t.Logf("%d revisions, %d suspicions sent, %d refuted, %d changes of the watched replica, %d heartbeats sent as a difference, %d requested in full, %d states sent as a patch, %d updates that could not be decoded",
		sum.Revisions, sum.Suspected, sum.Refuted, sum.Redirected, sum.DeltaHeartbeats, sum.FullHeartbeats, sum.Patched, sum.Unreadable)
	if sum.Patched == 0 || sum.Revisions == 0 || sum.Suspected == 0 || sum.Refuted == 0 || sum.Redirected == 0 || sum.DeltaHeartbeats == 0 || sum.FullHeartbeats == 0 {
		t.Error("a count of faults or of work is zero, so a case was not exercised")
	}
}

// TestMembershipChanges guards against lost acknowledged writes and failure to recover while the
// member set changes. The founders bootstrap concurrently. Replicas join, leave permanently, are
// replaced at other addresses or lose their disks, one at a time or a minority at once, also while
// all others lose power. At the end all replicas that were not removed must be members, and reads
// and writes must succeed.
func TestMembershipChanges(t *testing.T) {
	var sum Consensus
	var operators Operators
	var histories historyCounts
	sizes := []int{1, 2, 3, 4, 5, 11}
	forEachSeed(func(seed uint64) {
		for i := range uint64(2) {
			founders := sizes[(2*seed+i)%uint64(len(sizes))]
			sim := NewDynamicMembership(seed, founders, DynamicMembershipFaults)
			traceSingle(t, sim)
			sim.Run()
			checkViolations(t, sim.Violations, seed, "%d founders", founders)
			histories.check(t, seed, sim)
			operators.add(sim.Operators)
			sum.Acked, sum.Reads, sum.Kills, sum.DiskLosses, sum.Joins = sum.Acked+sim.Acked, sum.Reads+sim.Reads, sum.Kills+sim.Kills, sum.DiskLosses+sim.DiskLosses, sum.Joins+sim.Joins
			sum.SlowestRejoin = max(sum.SlowestRejoin, sim.SlowestRejoin)
			sum.Grown, sum.Shrunk, sum.Replaced, sum.Removed, sum.MinorityLosses = sum.Grown+sim.Grown, sum.Shrunk+sim.Shrunk, sum.Replaced+sim.Replaced, sum.Removed+sim.Removed, sum.MinorityLosses+sim.MinorityLosses
		}
	})
	histories.checkCoverage(t, 5)
	t.Logf("%d writes acknowledged, %d reads, %d kills, %d disks lost, %d joined, %d grown, %d shrunk, %d replaced, %d removed, %d losses of a minority; all replicas were members within 15 s plus %v; two operators: %s",
		sum.Acked, sum.Reads, sum.Kills, sum.DiskLosses, sum.Joins, sum.Grown, sum.Shrunk, sum.Replaced, sum.Removed, sum.MinorityLosses, sum.SlowestRejoin, operators)
	if sum.Acked == 0 || sum.Grown == 0 || sum.Shrunk == 0 || sum.Replaced == 0 || sum.Removed == 0 || sum.MinorityLosses == 0 || operators.incomplete() {
		t.Error("a count of faults or of work is zero, so a case was not exercised")
	}
}

// TestSecondLoss guards against a member set that does not recover from one tolerated loss in time
// for the next. As many replicas as the member set tolerates are lost at once, return or are
// replaced, and 4 s later as many are lost again, also right after a planned replacement. After
// each loss writes and reads must succeed, and no acknowledged write may be lost. Within these 4 s
// all replicas must be full members of a set that tolerates the next loss.
func TestSecondLoss(t *testing.T) {
	lost, planned, slowest := 0, 0, time.Duration(0)
	var histories historyCounts
	const seedDivisor = 10 // a seed means four simulations of six rounds each, so only a tenth of the seeds is run
	for seed := *first; seed < *first+uint64(*seeds+seedDivisor-1)/seedDivisor; seed++ {
		for _, size := range []int{3, 4, 5, 11} {
			sim := NewLosses(seed, size)
			traceSingle(t, sim.Consensus)
			sim.Run(6)
			histories.check(t, seed, sim.Consensus)
			checkViolations(t, sim.Violations, seed, "%d replicas", size)
			lost, planned, slowest = lost+sim.LostReplicas, planned+sim.PlannedReplacements, max(slowest, sim.Slowest)
		}
	}
	t.Logf("%d replicas lost, %d replaced as planned; writes and reads were interrupted for at most %v", lost, planned, slowest)
	if lost == 0 || planned == 0 {
		t.Error("no replica was lost, or none was replaced as planned")
	}
	histories.checkCoverage(t, 10)
}
