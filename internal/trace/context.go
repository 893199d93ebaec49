package trace

import "context"

type spanKey struct{}

// ContextWithSpan puts s into the slot that follows the worker. context.Context is Go's
// thread-local: it goes wherever the work goes. (DESIGN 2.3)
func ContextWithSpan(ctx context.Context, s Span) context.Context {
	return context.WithValue(ctx, spanKey{}, s)
}

// SpanFromContext reads the worker's current span.
func SpanFromContext(ctx context.Context) (Span, bool) {
	s, ok := ctx.Value(spanKey{}).(Span)
	return s, ok
}

// CopySpan gives a child worker its own slot with the parent's span in it.
func CopySpan(ctx context.Context) context.Context {
	if s, ok := SpanFromContext(ctx); ok {
		return ContextWithSpan(ctx, s)
	}
	return ctx
}
