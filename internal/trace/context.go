package trace

import "context"

// spanKey is the key of the current span in a context.
type spanKey struct{}

// ContextWithSpan returns a context whose current span is s. (DESIGN 2.3)
func ContextWithSpan(ctx context.Context, s Span) context.Context {
	return context.WithValue(ctx, spanKey{}, s)
}

// SpanFromContext returns the current span of a context; ok is false if it has none.
func SpanFromContext(ctx context.Context) (s Span, ok bool) {
	s, ok = ctx.Value(spanKey{}).(Span)
	return s, ok
}

// CopySpan returns a context for work that is started by that of ctx, with a current span of
// its own: the same one, if any.
func CopySpan(ctx context.Context) context.Context {
	if s, ok := SpanFromContext(ctx); ok {
		return ContextWithSpan(ctx, s)
	}
	return ctx
}
