// Package waste provides the count of prompt work that was computed and then
// thrown away, by cause.
//
// # Usage
//
//	var c waste.Counts
//	c.Add(waste.CallerGone, 1200)
//	total := c.Sum()
//
// Counts are in prompt tokens, as far as an entry can tell: a prompt without a
// first token counts in proportion to the time that it was expected to take.
package waste

// Cause says why prompt work was thrown away.
type Cause int

// Causes.
const (
	// CallerGone: the caller left before its deadline.
	CallerGone Cause = iota
	// DeadlinePassed: the answer was not whole at the deadline.
	DeadlinePassed
	// StreamCut: the upstream failed or broke the answer off.
	StreamCut
	// VersionRolledBack: the version was braked while the request ran.
	VersionRolledBack
	causes
)

// String returns the cause as it appears in labels.
func (c Cause) String() string {
	return [...]string{"caller-gone", "deadline-passed", "stream-cut", "version-taken-back"}[c]
}

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CallerGone, DeadlinePassed, StreamCut, VersionRolledBack}
}

// Counts are wasted prompt tokens by cause, in the order of Causes, and all that
// were computed. The zero value counts nothing yet.
type Counts struct {
	Wasted   [causes]float64
	Computed float64
}

// Add counts prompt tokens that were thrown away.
func (c *Counts) Add(cause Cause, tokens float64) { c.Wasted[cause] += tokens }

// Sum returns the wasted tokens of all causes.
func (c *Counts) Sum() float64 {
	sum := 0.0
	for _, n := range c.Wasted {
		sum += n
	}
	return sum
}
