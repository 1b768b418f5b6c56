package schedule

// Parameters of the estimate of an engine's reading time.
const (
	// readingDecay multiplies the weight of earlier answers at each new one.
	readingDecay = 0.95
	// minReadings is the weight of answers from which the estimate counts.
	minReadings = 6
	// minReadingSpread is the least variance of the prompts in tokens: from prompts of about
	// one size the time for each token can't be told.
	minReadingSpread = 400 * 400
	// maxReadingFactor bounds the time for each token of a prompt as a multiple of the
	// nominal one, to both sides.
	maxReadingFactor = 20
)

// reading estimates the time that an engine takes for each token of a prompt, by a straight
// line through its latest times to the first event. Its zero value knows nothing.
type reading struct {
	n, x, y, xx, xy float64
}

// observe adds an answer: the size of its prompt in tokens and the time to its first event in
// seconds.
func (r *reading) observe(prompt, first float64) {
	for _, sum := range []*float64{&r.n, &r.x, &r.y, &r.xx, &r.xy} {
		*sum *= readingDecay
	}
	r.n++
	r.x += prompt
	r.y += first
	r.xx += prompt * prompt
	r.xy += prompt * first
}

// perToken returns the time for each token of a prompt in seconds. It reports false while too
// little is known.
func (r *reading) perToken() (float64, bool) {
	if r.n < minReadings {
		return 0, false
	}
	spread := r.xx/r.n - r.x/r.n*r.x/r.n
	if spread < minReadingSpread {
		return 0, false
	}
	slope := (r.xy/r.n - r.x/r.n*r.y/r.n) / spread
	return min(max(slope, firstPerToken/maxReadingFactor), firstPerToken*maxReadingFactor), true
}
