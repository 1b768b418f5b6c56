package capacity

import "time"

// Sizes in two years.
const (
	Nodes        = 410
	Replicas     = 750
	Requests     = 8400 // a second
	Tokens       = 2.9e6
	Teams        = 2900
	Models       = 4
	Tiers        = 4
	Changes      = 1800 // a day
	Failures     = 19   // a day
	Replacements = 250  // a day
	DataCentres  = 7
	Regions      = 2
)

// Limits of one node's control and of the store. "Several hundred writes" is
// read as 300.
const (
	LimitCPU    = 0.011    // of a core
	LimitMemory = 32 << 20 // bytes
	LimitBytes  = 16 << 10 // a second
	LimitWrites = 300.0    // a second
	LimitReads  = 2000.0   // a second
	InForce     = 5 * time.Second
)

// What the sizes do not say is assumed.
const (
	// OrderShare is the share of requests that are not idempotent, as in the
	// load of the long run over failures.
	OrderShare = 0.05
	// RunningMoves are under way at a time, one a model.
	RunningMoves = Models
	// RequestTime is the time that a request is open, in seconds: 345 tokens at
	// 50 ms.
	RequestTime = 17.0
)

// day is in seconds.
const day = 86_400.0

// steps of the fleet's size at which costs are measured, as shares of the
// replicas and teams.
var fleetSizes = []int{10, 100, 300, Replicas}

// entrySizes are fleet sizes in entries.
var entrySizes = []int{8, 32, 128, Nodes}

// teamsFor keeps teams in proportion to replicas.
func teamsFor(replicas int) int { return replicas * Teams / Replicas }
