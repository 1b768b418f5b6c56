package relay

import (
	"sync/atomic"

	"agateward/internal/result/code"
)

// Stats counts dispatches and the results of their answers. Its fields may be read
// at any time.
type Stats struct {
	// Dispatched counts dispatches that may have reached an upstream, NotConnected
	// those that did not, Resumed streams that were resumed at another upstream.
	Dispatched   atomic.Uint64
	NotConnected atomic.Uint64
	Resumed      atomic.Uint64
	// Complete counts answers received in full. Mismatched, Truncated, Late and
	// TooLarge count answers that were dropped, Cancelled those whose caller left or
	// that were cancelled by the entry, Failed all others.
	Complete   atomic.Uint64
	Mismatched atomic.Uint64
	Truncated  atomic.Uint64
	Late       atomic.Uint64
	TooLarge   atomic.Uint64
	Cancelled  atomic.Uint64
	Failed     atomic.Uint64
}

// count counts the result of one dispatch that failed with err.
func (s *Stats) count(err error) {
	switch code.Of(err).Number {
	case code.AnswerMismatch.Number:
		s.Mismatched.Add(1)
	case code.AnswerCut.Number:
		s.Truncated.Add(1)
	case code.AnswerLate.Number:
		s.Late.Add(1)
	case code.AnswerTooLarge.Number:
		s.TooLarge.Add(1)
	case code.CallerGone.Number, code.GraceUsedUp.Number, code.VersionRolledBack.Number:
		s.Cancelled.Add(1)
	default:
		s.Failed.Add(1)
	}
}
