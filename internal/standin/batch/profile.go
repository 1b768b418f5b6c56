package batch

import "time"

// Defaults of a Profile.
const (
	defaultPrefillRate       = 20_000 // tokens a second
	defaultDecodeBase        = 12 * time.Millisecond
	defaultDecodePerSequence = 150 * time.Microsecond
	defaultMaxBatch          = 128     // sequences
	defaultChunk             = 512     // tokens
	defaultCacheTokens       = 400_000 // tokens
	defaultReportLag         = time.Second
	defaultCacheGap          = 17 // one event in so many is lost
)

// Profile says how fast an engine is and where it fails. A zero field takes its
// default.
type Profile struct {
	// Name and Version appear in load reports.
	Name    string
	Version string
	// Generation is the hardware generation; it is only told, the rates decide.
	Generation int
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// DecodeBase is the time of one decode step, and DecodePerSequence what each
	// sequence of the batch adds to it.
	DecodeBase        time.Duration
	DecodePerSequence time.Duration
	// MaxBatch bounds the sequences that are prefilled or decoded at a time;
	// others wait in order of arrival.
	MaxBatch int
	// Chunk is the number of prompt tokens that one step takes in beside the
	// decoding.
	Chunk int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// ReportLag is the least age of a load report; the greatest is twice as much.
	// CacheLag is the age at which cache events can be read.
	ReportLag time.Duration
	CacheLag  time.Duration
	// CacheGap loses one cache event in so many; below zero loses none.
	CacheGap int
	// Faults are checked when the engine starts to work on a job.
	Faults []Fault
	// Seed decides which jobs fail.
	Seed uint64
}

// Fault makes the jobs that it matches fail or run slowly. An empty field
// matches every job.
type Fault struct {
	Version string
	Route   string
	// From is when the fault begins.
	From time.Time
	// MinRunning is the number of running jobs from which on the fault shows.
	MinRunning int
	// FailShare is the share of the matched jobs that fail, from 0 to 1.
	FailShare float64
	// Slow multiplies the work of a matched job; 0 means 1.
	Slow float64
}

// matches tells whether the fault touches a job that starts now.
func (f Fault) matches(j Job, running int, now time.Time) bool {
	if f.Version != "" && f.Version != j.Version {
		return false
	}
	if f.Route != "" && f.Route != j.Route {
		return false
	}
	return running >= f.MinRunning && !now.Before(f.From)
}

// withDefaults fills the zero fields.
func (p Profile) withDefaults() Profile {
	if p.PrefillRate <= 0 {
		p.PrefillRate = defaultPrefillRate
	}
	if p.DecodeBase <= 0 {
		p.DecodeBase = defaultDecodeBase
	}
	if p.DecodePerSequence <= 0 {
		p.DecodePerSequence = defaultDecodePerSequence
	}
	if p.MaxBatch <= 0 {
		p.MaxBatch = defaultMaxBatch
	}
	if p.Chunk <= 0 {
		p.Chunk = defaultChunk
	}
	if p.CacheTokens <= 0 {
		p.CacheTokens = defaultCacheTokens
	}
	if p.ReportLag <= 0 {
		p.ReportLag = defaultReportLag
	}
	if p.CacheLag <= 0 {
		p.CacheLag = p.ReportLag
	}
	if p.CacheGap == 0 {
		p.CacheGap = defaultCacheGap
	}
	return p
}
