package core

import (
	"context"

	"curlewwalk/desired"
	"curlewwalk/register"
)

// Edition is a configuration under the operator's own number.
type Edition struct {
	Number        uint64
	Desired, Sent []byte
}

func (n *Node) Put(ctx context.Context, e Edition) (register.Answer, []desired.Fault) {
	_, faults, _ := desired.Parse(e.Desired)
	if len(faults) > 0 {
		return register.Answer{}, faults
	}
	return n.write(ctx, register.Order{Kind: register.Put, Bytes: e.Desired}), nil
}
func (n *Node) Empty(ctx context.Context, l string) register.Answer {
	return n.write(ctx, register.Order{Kind: register.Empty, Locality: l})
}
func (n *Node) TakeBack(ctx context.Context, l string) register.Answer {
	return n.write(ctx, register.Order{Kind: register.TakeBack, Locality: l})
}
func (n *Node) Read(ctx context.Context) (desired.Word, bool) { return n.keeper.ReadBack(ctx, n.refresh) }
func (n *Node) InForce(ctx context.Context, stamp uint64) ([]string, bool) { return n.directory.InForce(ctx, stamp) }
