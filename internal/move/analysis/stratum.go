package analysis

// stratum is the state of the analysis for one step.
type stratum struct {
	step int
	// nextOnly reports whether the old version gets no traffic in the step.
	nextOnly  bool
	old, next Totals
	pacer     pacer
	failure   failureTable
	latency   latencyTable
	// segment holds the outcomes since the tables were computed; failureLogs and
	// latencyLogs are the logarithms of its e-values.
	segment     block
	failureLogs failureLogs
	latencyLogs latencyLogs
}

// block holds outcomes of both versions.
type block struct {
	old, next Totals
	nextOnly  bool
}

func (b *block) outcomes() uint64 { return b.old.Outcomes() + b.next.Outcomes() }

// add adds the outcomes of c.
func (b *block) add(c block) {
	b.old.Merge(c.old)
	b.next.Merge(c.next)
	b.nextOnly = c.nextOnly
}

// advance returns the outcomes that a sample adds to the previous one.
func (st *stratum) advance(s *Sample) block {
	b := block{old: minus(s.Old, st.old), next: minus(s.Next, st.next), nextOnly: st.nextOnly || s.Silent}
	if b.nextOnly {
		b.old = Totals{}
	}
	if b.outcomes() > 0 {
		st.old = s.Old
		st.next = s.Next
	}
	return b
}

// startSegment begins a segment with new tables.
func (st *stratum) startSegment(f failureTable, l latencyTable) {
	st.failure, st.latency = f, l
	st.segment = block{}
	st.failureLogs, st.latencyLogs = failureLogs{}, latencyLogs{}
}

// extend adds a block to the segment and returns by how much the logarithms of the
// segment's e-values change.
func (st *stratum) extend(b block) (f failureLogs, l latencyLogs) {
	st.segment.add(b)
	f, l = st.failure.logEvidence(st.segment), st.latency.logEvidence(st.segment)
	df, dl := f, l
	for i := range df {
		df[i] -= st.failureLogs[i]
	}
	for i := range dl {
		dl[i] -= st.latencyLogs[i]
	}
	st.failureLogs, st.latencyLogs = f, l
	return df, dl
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
