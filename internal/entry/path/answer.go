package path

import (
	"context"

	"agateward/ward"

	oteltrace "go.opentelemetry.io/otel/trace"
)

// answer is an answer in progress. Close unregisters its request.
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
		return c, a.path.dispatchError(ctx, err)
	}
	return c, nil
}

// Close ends the answer, complete or not. A non-idempotent request is
// unregistered by openNonIdempotent instead, after its outcome is recorded.
func (a *answer) Close() error {
	err := a.Answer.Close()
	a.span.End()
	if !a.q.NonIdempotent {
		a.path.unregister(a.q)
	}
	return err
}
