// Package waste counts prompt tokens that were computed and then discarded, by
// cause.
//
// # Usage
//
//	var c waste.Counts
//	c.Add(waste.CallerGone, 1200)
//	total := c.Sum()
//
// The counts are an entry's estimates: a prompt without a first token counts in
// proportion to the time that it was expected to take.
package waste

// Cause is the reason why computed prompt tokens were discarded.
type Cause int

// Causes.
const (
	// CallerGone: the caller left before its deadline.
	CallerGone Cause = iota
	// DeadlinePassed: the answer was incomplete at the deadline.
	DeadlinePassed
	// StreamCut: the upstream failed or ended the answer early.
	StreamCut
	// VersionRolledBack: the version was quarantined while the request ran.
	VersionRolledBack
	causes
)

// String returns the cause as a metric label.
func (c Cause) String() string {
	return [...]string{"caller-gone", "deadline-passed", "stream-cut", "version-taken-back"}[c]
}

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CallerGone, DeadlinePassed, StreamCut, VersionRolledBack}
}

// Counts holds the wasted prompt tokens by cause, in the order of Causes, and the
// computed ones. The zero value is empty.
type Counts struct {
	Wasted   [causes]float64
	Computed float64
}

// Add counts prompt tokens that were discarded.
func (c *Counts) Add(cause Cause, tokens float64) { c.Wasted[cause] += tokens }

// Sum returns the wasted prompt tokens of all causes.
func (c *Counts) Sum() float64 {
	sum := 0.0
	for _, n := range c.Wasted {
		sum += n
	}
	return sum
}
