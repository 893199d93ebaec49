package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"curlewwalk/tests/fleet"
)

// The processes that leaveThenKill kills, as the first word of a variant.
const (
	strikeSidecar  = "sidecar"  // the one that acknowledged the departure
	strikeReplicas = "replicas" // all of them
	strikeBoth     = "both"
	strikeAll      = "all" // all processes
)

// strikeVariants lists all variants of leaveThenKill: the processes, and how they are killed.
var strikeVariants = func() (variants []string) {
	for _, processes := range []string{strikeSidecar, strikeReplicas, strikeBoth, strikeAll} {
		for _, how := range killVariants {
			variants = append(variants, processes+" "+how)
		}
	}
	return variants
}()

const (
	// strikeSoon is the delay from the acknowledgement within which most kills are drawn.
	strikeSoon = 400 * time.Millisecond
	// strikeLate is the longest delay from the acknowledgement to a kill.
	strikeLate = 10 * time.Second
	// maxStrikeOutage is the longest time for which the killed processes are away.
	maxStrikeOutage = 1500 * time.Millisecond
)

// leaveThenKill makes a backend leave in order, as leave does, and kills processes at a time from 0 to
// 10 s after the acknowledgement. Announcements from before the departure arrive until 9 s after it. An
// acknowledged departure must outlive the kill.
func leaveThenKill(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	m, ok := r.lockMachine(e)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	delay := time.Duration(rng.Int64N(int64(strikeSoon)))
	if rng.IntN(4) == 0 {
		delay = time.Duration(rng.Int64N(int64(strikeLate)))
	}
	processes, how, _ := strings.Cut(e.Variant, " ")
	strike := Entry{Kind: e.Kind, Variant: how, For: round(rng.Float64() * maxStrikeOutage.Seconds())}
	departure := e
	departure.Variant = leaveVariants[rng.IntN(len(leaveVariants))]
	var kill sync.WaitGroup
	defer kill.Wait()
	r.replaceInOrder(ctx, m, departure, rng, func() {
		kill.Go(func() {
			sleep(ctx, delay)
			r.killUnlocked(ctx, strike, r.strikeTargets(m, processes))
		})
	})
}

// strikeTargets returns the processes that a variant of leaveThenKill kills.
func (r *Run) strikeTargets(m *machine, processes string) (targets []*fleet.Program) {
	switch processes {
	case strikeAll:
		return r.Fleet.Programs()
	case strikeSidecar:
		return []*fleet.Program{r.Fleet.Sidecars[m.number]}
	case strikeBoth:
		targets = append(targets, r.Fleet.Sidecars[m.number])
	}
	return append(targets, r.Fleet.Replicas...)
}

// killUnlocked kills processes at the same moment, except for locked ones, and starts them again after
// the duration of the entry. Their disks are kept.
func (r *Run) killUnlocked(ctx context.Context, e Entry, targets []*fleet.Program) {
	var programs []*fleet.Program
	controlPlane := false
	for _, p := range targets {
		if r.processLocks[p].TryLock() {
			programs = append(programs, p)
			controlPlane = controlPlane || r.isControlPlane(p)
			defer r.processLocks[p].Unlock()
		}
	}
	if len(programs) == 0 {
		return
	}
	defer r.faults.begin(Fault{Kind: e.Kind, Variant: e.Variant, Machines: ips(programs), ControlPlane: controlPlane})()
	r.killFor(ctx, programs, e)
}
