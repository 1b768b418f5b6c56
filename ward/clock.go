package ward

import (
	"context"
	"time"
)

// Clock provides the current time and waits. Code that takes a Clock can also run
// on virtual time.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
	// Sleep waits for d, or until ctx ends; it then returns ctx.Err().
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the Clock of the operating system. Its zero value is ready to use.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for d on a runtime timer, or until ctx ends.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
