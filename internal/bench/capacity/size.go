package capacity

import "time"

// Expected sizes of the fleet in two years.
const (
	Nodes        = 410
	Replicas     = 750
	Requests     = 8400 // per second
	Tokens       = 2.9e6
	Teams        = 2900
	Models       = 4
	Tiers        = 4
	Changes      = 1800 // per day
	Failures     = 19   // per day
	Replacements = 250  // per day
	DataCentres  = 7
	Regions      = 2
)

// Limits of the control work of one node and of the store. The stated limit of
// "several hundred writes" is taken as 300.
const (
	LimitCPU    = 0.011    // of a core
	LimitMemory = 32 << 20 // bytes
	LimitBytes  = 16 << 10 // per second
	LimitWrites = 300.0    // per second
	LimitReads  = 2000.0   // per second
	InForce     = 5 * time.Second
)

// Assumptions beyond the stated sizes.
const (
	// OrderShare is the share of requests that are not idempotent, as in the load of
	// the experiment over failures.
	OrderShare = 0.05
	// RunningMoves is the number of moves in progress at a time, one per model.
	RunningMoves = Models
	// RequestTime is the duration of a request in seconds: 345 tokens at 50 ms each.
	RequestTime = 17.0
)

// secondsPerDay is the number of seconds in a day.
const secondsPerDay = 86_400.0

// fleetSizes are the fleet sizes, in replicas, at which costs are measured.
var fleetSizes = []int{10, 100, 300, Replicas}

// entrySizes are the fleet sizes, in entries, at which costs are measured.
var entrySizes = []int{8, 32, 128, Nodes}

// teamsFor returns the number of teams in proportion to the replicas.
func teamsFor(replicas int) int { return replicas * Teams / Replicas }
