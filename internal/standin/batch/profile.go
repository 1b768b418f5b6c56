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
	defaultCacheGap          = 17 // every 17th event is lost
)

// Profile sets the speed and the faults of an engine. A zero field means its
// default.
type Profile struct {
	// Name and Version appear in load reports.
	Name    string
	Version string
	// Generation is the hardware generation. It is informational and doesn't
	// change the speed.
	Generation int
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// DecodeBase is the base duration of a decode step, and DecodePerSequence the
	// time that each sequence of the batch adds.
	DecodeBase        time.Duration
	DecodePerSequence time.Duration
	// MaxBatch is the maximum number of sequences in prefill or decode; others
	// wait in order of arrival.
	MaxBatch int
	// Chunk is the number of prompt tokens that one step prefills in addition
	// to decoding.
	Chunk int
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// ReportLag is the minimum age of a load report; the maximum is twice as much.
	// CacheLag is the age from which cache events can be read.
	ReportLag time.Duration
	CacheLag  time.Duration
	// CacheGap is the interval, in events, at which one cache event is lost; below
	// 0 none is lost.
	CacheGap int
	// Faults are applied when the engine starts a job.
	Faults []Fault
	// Seed seeds the choice of the jobs that fail.
	Seed uint64
}

// Fault makes the jobs that it matches fail or run slowly. An empty field
// matches every job.
type Fault struct {
	Version string
	Route   string
	// From is when the fault begins.
	From time.Time
	// MinRunning is the minimum number of running jobs at which the fault applies.
	MinRunning int
	// FailShare is the share of the matched jobs that fail, from 0 to 1.
	FailShare float64
	// Slow multiplies the work of a matched job; 0 means 1.
	Slow float64
}

// matches reports whether the fault applies to a job that starts now.
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
