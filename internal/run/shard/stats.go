package shard

// Stats counts the calls of the store and their results.
type Stats struct {
	Reads      uint64
	Writes     uint64
	Conflicts  uint64
	Lost       uint64
	OverBudget uint64
	Failed     uint64
	Committed  uint64
	Late       uint64
	Archived   uint64
}

// Add adds the counts of o.
func (s *Stats) Add(o Stats) {
	s.Reads += o.Reads
	s.Writes += o.Writes
	s.Conflicts += o.Conflicts
	s.Lost += o.Lost
	s.OverBudget += o.OverBudget
	s.Failed += o.Failed
	s.Committed += o.Committed
	s.Late += o.Late
	s.Archived += o.Archived
}
