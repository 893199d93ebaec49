package trace

import "context"

type slotKey struct{}

// With puts s into the slot that follows the worker. context.Context is Go's
// thread-local: it goes wherever the work goes. (DESIGN 2.3)
func With(ctx context.Context, s Span) context.Context {
	return context.WithValue(ctx, slotKey{}, s)
}

// From reads the worker's current span.
func From(ctx context.Context) (Span, bool) {
	s, ok := ctx.Value(slotKey{}).(Span)
	return s, ok
}

// CopySlot gives a child worker its own slot with the parent's span in it.
func CopySlot(ctx context.Context) context.Context {
	if s, ok := From(ctx); ok {
		return With(ctx, s)
	}
	return ctx
}
