package analysis

// stratum is what the analysis keeps of one step.
type stratum struct {
	step int
	// alone says that the old version gets nothing in the step.
	alone     bool
	old, next Totals
	arms      arms
	pacer     pacer
	failure   failureTable
	latency   latencyTable
}

// block is what both versions added between two looks.
type block struct {
	old, next Totals
	alone     bool
}

func (b *block) outcomes() uint64 { return b.old.Outcomes() + b.next.Outcomes() }

// advance returns what a sample adds to the one before.
func (st *stratum) advance(s *Sample) block {
	b := block{old: minus(s.Old, st.old), next: minus(s.Next, st.next), alone: st.alone}
	if st.alone {
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
