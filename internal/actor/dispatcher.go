package actor

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"
)

// actorThroughput is how many messages an actor handles in a row before it yields. (ours)
const actorThroughput = 300

// dispatcher starts the actors' goroutines through the System, like all others.
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
func (dispatcher) Throughput() int { return actorThroughput }
