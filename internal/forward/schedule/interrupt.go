package schedule

import "time"

const (
	// chunkTokens is the number of prompt tokens that an engine reads between two tokens of
	// the streams beside it. An event holds several tokens.
	chunkTokens = 2048
	// interruptCost is added, for each request that runs at an engine, if the prompt of the
	// job would interrupt their streams for longer than their callers accept.
	interruptCost = 8
	// interruptMargin is how much time a job must have left to wait for an engine at which it
	// interrupts no stream.
	interruptMargin = 150 * time.Millisecond
)

// interruption is the expected pause between two events of the streams that run at u while
// it reads the prompt of j.
func (u *upstream) interruption(j *Job) time.Duration {
	stride := max(j.Stride, 1)
	perPromptToken, ok := u.reading.perToken()
	if !ok {
		perPromptToken = u.latencyFactor() * firstPerToken
	}
	read := perPromptToken * float64(min(j.Prompt, stride*chunkTokens))
	return time.Duration((read + float64(stride)*perToken*u.tokenFactor()) * float64(time.Second))
}

// interrupts reports whether the prompt of j would interrupt streams that run at u for longer
// than the caller of j accepts for its own. Streams of one service have similar bounds.
func (s *Scheduler) interrupts(u *upstream, j *Job) bool {
	return s.Options.ProtectStreams && j.MaxGap > 0 && u.load() > 0 && u.interruption(j) > j.MaxGap
}

// waitsForOthers reports whether j, whose best engine is u, is better left waiting: it would
// interrupt streams there, and an engine where it does not can still answer in time.
func (s *Scheduler) waitsForOthers(v *service, u *upstream, j *Job, now time.Time) bool {
	if !s.interrupts(u, j) {
		return false
	}
	for _, other := range v.upstreams {
		if other != u && other.available(now) && other.interruption(j) <= j.MaxGap &&
			!now.Add(other.timeToFirst(j)+interruptMargin).After(j.Due) {
			return true
		}
	}
	return false
}
