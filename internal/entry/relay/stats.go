package relay

import (
	"sync/atomic"

	"agateward/internal/result/code"
)

// Stats counts hand-overs and what became of their answers. Its fields may be
// read at any time.
type Stats struct {
	// Dispatched counts requests that may have reached an upstream, NotConnected
	// attempts that did not, Resumed streams that went on elsewhere.
	Dispatched   atomic.Uint64
	NotConnected atomic.Uint64
	Resumed      atomic.Uint64
	// Whole counts answers received in full. Mismatched, Cut, Late and TooLarge
	// count answers that were dropped, Cancelled those that nobody waited for.
	Whole      atomic.Uint64
	Mismatched atomic.Uint64
	Cut        atomic.Uint64
	Late       atomic.Uint64
	TooLarge   atomic.Uint64
	Cancelled  atomic.Uint64
	Failed     atomic.Uint64
}

// count counts the end of one hand-over. err is nil for a whole answer.
func (s *Stats) count(err error) {
	switch code.Of(err).Number {
	case code.AnswerMismatch.Number:
		s.Mismatched.Add(1)
	case code.AnswerCut.Number:
		s.Cut.Add(1)
	case code.AnswerLate.Number:
		s.Late.Add(1)
	case code.AnswerTooLarge.Number:
		s.TooLarge.Add(1)
	case code.CallerGone.Number, code.GraceUsedUp.Number, code.VersionTakeBack.Number:
		s.Cancelled.Add(1)
	default:
		s.Failed.Add(1)
	}
}
