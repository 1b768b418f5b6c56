package meter

import "agateward/internal/platform/family"

// Budget is the number of calls a second that the fleet may make, by family.
type Budget struct {
	Rows []Row
}

// Row is the budget of one key family.
type Row struct {
	Family family.Family
	Read   Rate
	Write  Rate
}

// Rate is a budget in calls a second for one kind of call.
type Rate struct {
	// Fleet is the rate of all entries together. PerLease is added to an entry's
	// rate for each lease that it holds.
	Fleet    float64
	PerLease float64
	// Burst is the number of calls that one entry may make at once; in large
	// fleets it is reduced.
	Burst int
	// MinPerEntry is the minimum rate of one entry in a fleet of any size; an
	// entry with a minimum keeps its whole Burst. It suits calls that only one
	// entry makes at a time, such as those for an operator's ticket, but not
	// calls that all entries make.
	MinPerEntry float64
}

// DefaultBudget returns the budget for a store that handles several hundred
// writes and two thousand reads a second: 232 writes and 570 reads a second for
// the whole fleet, and 6 writes and 12 reads for each held lease. Run records
// have 150 writes a second at any rate of requests.
func DefaultBudget() Budget {
	return Budget{Rows: []Row{
		{family.Config, Rate{Fleet: 60, Burst: 10, MinPerEntry: 1}, Rate{Fleet: 8, Burst: 8, MinPerEntry: 1}},
		{family.Ticket, Rate{Fleet: 40, PerLease: 2, Burst: 20, MinPerEntry: 2}, Rate{Fleet: 8, Burst: 8, MinPerEntry: 1}},
		{family.Move, Rate{Fleet: 160, PerLease: 10, Burst: 40}, Rate{Fleet: 16, PerLease: 4, Burst: 20}},
		{family.Lease, Rate{Fleet: 0, Burst: 1}, Rate{Fleet: 40, PerLease: 2, Burst: 10}},
		{family.Run, Rate{Fleet: 300, Burst: 60}, Rate{Fleet: 150, Burst: 40}},
		{family.Other, Rate{Fleet: 10, Burst: 5}, Rate{Fleet: 10, Burst: 5}},
	}}
}
