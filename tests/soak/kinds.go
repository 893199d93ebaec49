package soak

import (
	"context"
	"math/rand/v2"
)

// Kind names what an entry of a plan does.
type Kind string

// The kinds.
const (
	kindLeave      Kind = "backend-leaves"
	kindCrash      Kind = "backend-crashes"
	kindSlow       Kind = "backend-slow"
	kindGarble     Kind = "backend-garbles"
	kindStop       Kind = "sidecars-stop"
	kindStopCore   Kind = "core-stops"
	kindReload     Kind = "sidecars-reload"
	kindKill       Kind = "sidecars-killed"
	kindKillCore   Kind = "core-killed"
	kindHerd       Kind = "many-killed"
	kindFreeze     Kind = "sidecars-freeze"
	kindFreezeCore Kind = "core-freezes"
	kindWipe       Kind = "core-disk-lost"
	kindReset      Kind = "connections-reset"
	kindCut        Kind = "sidecars-cut"
	kindCutCore    Kind = "core-cut"
	kindSplit      Kind = "core-split"
	kindConfigure  Kind = "configurations"
	kindEvacuate   Kind = "zone-emptied"
	kindZone       Kind = "zone-loses-power"
	kindClocks     Kind = "clocks-jump"
	kindInvalid    Kind = "invalid-configurations"
)

// The kinds of a plan's end.
const (
	lastPower Kind = "power-off-all"
	lastKill  Kind = "kill-all"
	lastWipe  Kind = "disk-lost-and-power-off"
)

var lastKinds = []Kind{lastPower, lastKill, lastWipe}

// kind is what an entry of a kind does, and how it is drawn.
type kind struct {
	// planned tells that it is planned work, around which nothing may be lost.
	planned bool
	// hows are its variants; longest is the longest that it lasts, in seconds; most is how
	// many it strikes at most.
	hows    []string
	longest float64
	most    int
	do      func(ctx context.Context, r *Run, e Entry, rng *rand.Rand)
}

var kinds map[Kind]kind

func init() {
	kinds = map[Kind]kind{
		kindLeave:      {planned: true, hows: leavings, longest: 9, do: leave},
		kindCrash:      {hows: []string{"", howAddress}, longest: 2, do: crash},
		kindSlow:       {planned: true, longest: 6, do: slow},
		kindGarble:     {longest: 5, do: garble},
		kindStop:       {planned: true, hows: stops, most: 5, do: stop},
		kindStopCore:   {planned: true, hows: stops, do: stopCore},
		kindReload:     {planned: true, most: 9, do: reload},
		kindKill:       {hows: kills, longest: 3, most: 3, do: kill},
		kindKillCore:   {hows: kills, longest: 4, do: killCore},
		kindHerd:       {hows: kills, longest: 2, do: herd},
		kindFreeze:     {longest: 6, most: 2, do: freeze},
		kindFreezeCore: {longest: 6, do: freezeCore},
		kindWipe:       {longest: 3, do: loseDisk},
		kindReset:      {most: 5, do: resetConnections},
		kindCut:        {hows: cuts, longest: 8, most: 3, do: cut},
		kindCutCore:    {hows: cuts, longest: 8, do: cutCore},
		kindSplit:      {longest: 6, do: split},
		kindConfigure:  {planned: true, hows: configurings, longest: 0.5, most: 12, do: configure},
		kindEvacuate:   {planned: true, longest: 9, do: evacuate},
		kindZone:       {longest: 5, do: loseZone},
		kindClocks:     {planned: true, longest: 6, do: jumpClocks},
		kindInvalid:    {planned: true, most: 4, do: sendInvalid},
	}
}

// draw draws the variant, the length and the number of an entry.
func (k kind) draw(rng *rand.Rand, e *Entry) {
	if len(k.hows) > 0 {
		e.How = k.hows[rng.IntN(len(k.hows))]
	}
	if k.longest > 0 {
		e.For = round(rng.Float64() * k.longest)
	}
	if k.most > 1 {
		e.Count = 1 + rng.IntN(k.most)
	}
}
