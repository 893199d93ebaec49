package actor

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"
)

// actorThroughput is the number of messages an actor handles in a row before it yields.
const actorThroughput = 300

// dispatcher starts the goroutines of an actor through System.Go, so that System tracks them like
// all other goroutines.
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
