package meter

import "agateward/internal/platform/family"

// Budget is the table of calls a second that the fleet may make.
type Budget struct {
	Rows []Row
}

// Row is the budget of one key family.
type Row struct {
	Family family.Family
	Read   Rate
	Write  Rate
}

// Rate is a budget in calls a second.
type Rate struct {
	// Fleet is for all entries together, PerLease is added for each lease that
	// the entry holds.
	Fleet    float64
	PerLease float64
	// Burst is the number of calls that one entry may make at once.
	Burst int
	// Least is what each entry may make whatever the fleet's size, with its whole
	// Burst. It suits calls that one entry makes at a time, such as those of an
	// operator's ticket, and not those that all entries make.
	Least float64
}

// DefaultBudget is the budget for a store that takes several hundred writes and
// two thousand reads a second: 232 writes and 570 reads for the whole fleet, and
// 6 writes and 12 reads for each duty in work. Run records keep the 150 writes a
// second that they are given at any rate of requests.
func DefaultBudget() Budget {
	return Budget{Rows: []Row{
		{family.Config, Rate{Fleet: 60, Burst: 10, Least: 1}, Rate{Fleet: 8, Burst: 8, Least: 1}},
		{family.Ticket, Rate{Fleet: 40, PerLease: 2, Burst: 20, Least: 2}, Rate{Fleet: 8, Burst: 8, Least: 1}},
		{family.Move, Rate{Fleet: 160, PerLease: 10, Burst: 40}, Rate{Fleet: 16, PerLease: 4, Burst: 20}},
		{family.Lease, Rate{Fleet: 0, Burst: 1}, Rate{Fleet: 40, PerLease: 2, Burst: 10}},
		{family.Run, Rate{Fleet: 300, Burst: 60}, Rate{Fleet: 150, Burst: 40}},
		{family.Other, Rate{Fleet: 10, Burst: 5}, Rate{Fleet: 10, Burst: 5}},
	}}
}
