package trace

import "context"

// spanKey is the context key of the current span.
type spanKey struct{}

// ContextWithSpan returns a context whose current span is s. (DESIGN 2.3)
func ContextWithSpan(ctx context.Context, s Span) context.Context {
	return context.WithValue(ctx, spanKey{}, s)
}

// SpanFromContext returns the current span of ctx. ok is false if ctx has no current span.
func SpanFromContext(ctx context.Context) (s Span, ok bool) {
	s, ok = ctx.Value(spanKey{}).(Span)
	return s, ok
}

// CopySpan returns a context for new work that is started by the work of ctx. The returned context
// carries the current span of ctx, if there is one, as an entry of its own.
func CopySpan(ctx context.Context) context.Context {
	if s, ok := SpanFromContext(ctx); ok {
		return ContextWithSpan(ctx, s)
	}
	return ctx
}
