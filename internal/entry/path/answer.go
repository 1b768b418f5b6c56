package path

import (
	"context"

	"agateward/ward"

	oteltrace "go.opentelemetry.io/otel/trace"
)

// answer is an answer under way. The request is forgotten when it is closed.
type answer struct {
	ward.Answer
	path *Path
	q    *ward.Request
	span oteltrace.Span
}

// Next returns the next chunk.
func (a *answer) Next(ctx context.Context) (ward.Chunk, error) {
	c, err := a.Answer.Next(ctx)
	if err != nil {
		return c, a.path.failed(ctx, err)
	}
	return c, nil
}

// Close ends the answer, whole or not. A request that is not idempotent is
// forgotten by once, after its outcome was recorded.
func (a *answer) Close() error {
	err := a.Answer.Close()
	a.span.End()
	if !a.q.NonIdempotent {
		a.path.leave(a.q)
	}
	return err
}
