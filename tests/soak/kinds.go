package soak

import (
	"context"
	"math/rand/v2"
)

// Kind names the fault or the planned change of an entry.
type Kind string

// The kinds of entries.
const (
	kindLeave            Kind = "backend-leaves"
	kindLeaveKill        Kind = "backend-leaves-then-kills"
	kindCrash            Kind = "backend-crashes"
	kindSlow             Kind = "backend-slow"
	kindGarble           Kind = "backend-garbles"
	kindStop             Kind = "sidecars-stop"
	kindStopReplica      Kind = "core-stops"
	kindReload           Kind = "sidecars-reload"
	kindKill             Kind = "sidecars-killed"
	kindKillReplica      Kind = "core-killed"
	kindMassKill         Kind = "many-killed"
	kindFreeze           Kind = "sidecars-freeze"
	kindFreezeReplica    Kind = "core-freezes"
	kindDiskLoss         Kind = "core-disk-lost"
	kindReset            Kind = "connections-reset"
	kindPartition        Kind = "sidecars-cut"
	kindPartitionReplica Kind = "core-cut"
	kindSplit            Kind = "core-split"
	kindConfigure        Kind = "configurations"
	kindEvacuate         Kind = "zone-emptied"
	kindZone             Kind = "zone-loses-power"
	kindClocks           Kind = "clocks-jump"
	kindInvalid          Kind = "invalid-configurations"
)

// The kinds of the last fault.
const (
	lastPower    Kind = "power-off-all"
	lastKill     Kind = "kill-all"
	lastDiskLoss Kind = "disk-lost-and-power-off"
)

// lastKinds lists all kinds of the last fault.
var lastKinds = []Kind{lastPower, lastKill, lastDiskLoss}

// kind defines how the entries of a Kind are drawn and played.
type kind struct {
	// planned is set for planned changes, during which no accepted request may be lost.
	planned bool
	// variants are the possible values of Entry.Variant. maxSeconds is the upper bound of
	// Entry.For, and maxCount that of Entry.Count.
	variants   []string
	maxSeconds float64
	maxCount   int
	// play carries out an entry and returns when its fault or change is over.
	play func(ctx context.Context, r *Run, e Entry, rng *rand.Rand)
}

// kinds maps each kind to its definition.
var kinds map[Kind]kind

func init() {
	kinds = map[Kind]kind{
		kindLeave:            {planned: true, variants: leaveVariants, maxSeconds: 9, play: leave},
		kindLeaveKill:        {variants: strikeVariants, maxSeconds: 9, play: leaveThenKill},
		kindCrash:            {variants: []string{"", variantReuseAddress}, maxSeconds: 2, play: crash},
		kindSlow:             {planned: true, maxSeconds: 6, play: slow},
		kindGarble:           {maxSeconds: 5, play: garble},
		kindStop:             {planned: true, variants: stopVariants, maxCount: 5, play: stop},
		kindStopReplica:      {planned: true, variants: stopVariants, play: stopReplica},
		kindReload:           {planned: true, maxCount: 9, play: reload},
		kindKill:             {variants: killVariants, maxSeconds: 3, maxCount: 3, play: kill},
		kindKillReplica:      {variants: killVariants, maxSeconds: 4, play: killReplica},
		kindMassKill:         {variants: killVariants, maxSeconds: 2, play: massKill},
		kindFreeze:           {maxSeconds: 6, maxCount: 2, play: freeze},
		kindFreezeReplica:    {maxSeconds: 6, play: freezeReplica},
		kindDiskLoss:         {maxSeconds: 3, play: loseDisk},
		kindReset:            {maxCount: 5, play: resetConnections},
		kindPartition:        {variants: partitionVariants, maxSeconds: 8, maxCount: 3, play: partitionSidecars},
		kindPartitionReplica: {variants: partitionVariants, maxSeconds: 8, play: partitionReplica},
		kindSplit:            {maxSeconds: 6, play: splitControlPlane},
		kindConfigure:        {planned: true, variants: configureVariants, maxSeconds: 0.5, maxCount: 12, play: configure},
		kindEvacuate:         {planned: true, maxSeconds: 9, play: evacuate},
		kindZone:             {maxSeconds: 5, play: loseZone},
		kindClocks:           {planned: true, maxSeconds: 6, play: jumpClocks},
		kindInvalid:          {planned: true, maxCount: 4, play: sendInvalid},
	}
}

// draw draws the variant, the duration and the count of an entry, in this order.
func (k kind) draw(rng *rand.Rand, e *Entry) {
	if len(k.variants) > 0 {
		e.Variant = k.variants[rng.IntN(len(k.variants))]
	}
	if k.maxSeconds > 0 {
		e.For = round(rng.Float64() * k.maxSeconds)
	}
	if k.maxCount > 1 {
		e.Count = 1 + rng.IntN(k.maxCount)
	}
}
