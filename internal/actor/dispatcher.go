package actor

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"
)

// dispatcher runs actor mailboxes through the launcher, so that actors' work
// too starts in the one place.
type dispatcher struct {
	system *System
	name   string
}

var _ actor.Dispatcher = dispatcher{}

// Schedule implements actor.Dispatcher.
func (d dispatcher) Schedule(fn func()) {
	d.system.Go(context.Background(), d.name, func(context.Context) { fn() })
}

// Throughput implements actor.Dispatcher.
func (dispatcher) Throughput() int { return 300 }
