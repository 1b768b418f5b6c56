package analysis

// stratum is the state of the analysis for one step.
type stratum struct {
	step int
	// nextOnly reports whether the old version gets no traffic in the step.
	nextOnly  bool
	old, next Totals
	arms      arms
	pacer     pacer
	failure   failureTable
	latency   latencyTable
}

// block holds the outcomes of both versions between two updates.
type block struct {
	old, next Totals
	nextOnly  bool
}

func (b *block) outcomes() uint64 { return b.old.Outcomes() + b.next.Outcomes() }

// advance returns the outcomes that a sample adds to the previous one.
func (st *stratum) advance(s *Sample) block {
	b := block{old: minus(s.Old, st.old), next: minus(s.Next, st.next), nextOnly: st.nextOnly}
	if st.nextOnly {
		b.old = Totals{}
	}
	if b.outcomes() > 0 {
		st.old = s.Old
		st.next = s.Next
	}
	return b
}

func minus(a, b Totals) Totals {
	d := Totals{Succeeded: sub(a.Succeeded, b.Succeeded), Failed: sub(a.Failed, b.Failed)}
	for i := range d.Latency {
		d.Latency[i] = sub(a.Latency[i], b.Latency[i])
	}
	return d
}

func sub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
