// Package plan draws the faults of a soak from a seed: a series of overlapping
// faults.
//
// # Usage
//
//	for _, f := range plan.New(seed, length, store.Faults()) { ... }
package plan

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of fault.
const (
	// EntryStop, EntryKill and EntryPause stop, kill and pause one entry by a signal.
	// EntryReload makes it read its settings again, also while it stops. AllKill kills all
	// entries at once.
	EntryStop   Kind = "entry-stop"
	EntryKill   Kind = "entry-kill"
	EntryPause  Kind = "entry-pause"
	EntryReload Kind = "entry-reload"
	AllKill     Kind = "all-kill"
	// EntriesStop stops most entries, within Duration of each other.
	EntriesStop Kind = "entries-stop"
	// StoreFault injects the fault Variant into the store. StoreCompact drops its
	// history. StoreLink disturbs the connections of one entry to it, as Variant.
	StoreFault   Kind = "store-fault"
	StoreCompact Kind = "store-compact"
	StoreLink    Kind = "store-link"
	// UpstreamCrash stops an upstream at once, UpstreamDrain removes one gracefully,
	// UpstreamRestart restarts one under the same id. UpstreamLink disturbs the
	// connections to one, as Variant.
	UpstreamCrash   Kind = "upstream-crash"
	UpstreamDrain   Kind = "upstream-drain"
	UpstreamRestart Kind = "upstream-reborn"
	UpstreamLink    Kind = "upstream-link"
	// UpstreamRanRefused makes an upstream run requests and answer some with the status
	// Variant, which promises that they did not run. UpstreamRepeat makes it answer some
	// requests as not run, with the status Variant, and send these answers again before
	// the next answer on their connection.
	UpstreamRanRefused Kind = "upstream-ran-refused"
	UpstreamRepeat     Kind = "upstream-repeat"
	// EnginesRefuse makes all engines do both, with the status Variant: one request then
	// meets answers of both kinds.
	EnginesRefuse Kind = "engines-refuse"
	// UpstreamLeave makes an upstream state in its answers that it leaves, while it keeps
	// serving, until it is removed. UpstreamPause makes it refuse some requests and ask for
	// a pause of Variant seconds.
	UpstreamLeave Kind = "upstream-leave"
	UpstreamPause Kind = "upstream-pause"
	// UpstreamSilence makes an upstream, which is sound, send nothing for a while; it then
	// goes on with its answers.
	UpstreamSilence Kind = "upstream-silence"
	// EnginesSilence makes all engines, which are sound, send nothing for a while, right after
	// a new version of the configuration.
	EnginesSilence Kind = "engines-silence"
	// PromptCrash makes requests come at any entry whose prompts have a part under which
	// each engine that begins to answer crashes.
	PromptCrash Kind = "prompt-crash"
	// RequestCrash makes one request come again at any entry under which each upstream that
	// begins to run it crashes.
	RequestCrash Kind = "request-crash"
	// UpstreamLimit makes an upstream state in its answers that it takes only Variant
	// requests a second from all entries together.
	UpstreamLimit Kind = "upstream-limit"
	// UpstreamEndless makes an upstream answer some requests without end: bytes of a body, or
	// of one event.
	UpstreamEndless Kind = "upstream-endless"
	// Configure puts a new version of the configuration in force.
	Configure Kind = "configure"
	// Rollout rolls out a version to a service, which is good or bad as Variant.
	Rollout Kind = "rollout"
)

// Fault is one fault. Target, modulo the number of entries or upstreams, selects the
// affected one.
type Fault struct {
	Kind     Kind
	At       time.Duration
	Duration time.Duration
	Target   int
	Variant  string
}

const (
	// meanInterval is the mean time between two faults, short enough that some overlap.
	meanInterval = 700 * time.Millisecond
	// meanAnswerInterval is the mean time between two faults of answers. It leaves most
	// answers right, so that the other faults show.
	meanAnswerInterval = 2 * time.Second
	// meanRefusalInterval is the mean time between two faults of all engines.
	meanRefusalInterval = 10 * time.Second
	// meanWishInterval is the mean time between two faults of upstreams that want no
	// requests.
	meanWishInterval = 10 * time.Second
	// meanSilenceInterval is the mean time between two silences of upstreams. minSilence and
	// maxSilence bound them: a second or so, as the pages allow to a sound upstream.
	meanSilenceInterval = time.Second
	minSilence          = 800 * time.Millisecond
	maxSilence          = 1600 * time.Millisecond
	// meanEnginesSilenceInterval is the mean time between two silences of all engines.
	// minEnginesSilence and maxEnginesSilence bound them.
	meanEnginesSilenceInterval = 8 * time.Second
	minEnginesSilence          = time.Second
	maxEnginesSilence          = 2200 * time.Millisecond
	// maxPromptCrashDelay is the longest time from the first faults to requests under which
	// engines crash. They come until the last faults: the bounds that they are checked
	// against begin up to 6 s after the fifth crash.
	maxPromptCrashDelay = time.Second
	// meanLimitInterval is the mean time between two limits of upstreams. They last from
	// minLimitTime to maxLimitTime, as the bound on them holds some seconds later.
	meanLimitInterval = 8 * time.Second
	minLimitTime      = 5 * time.Second
	maxLimitTime      = 9 * time.Second
	// meanStopsInterval, meanReloadInterval and meanChangeInterval are the mean times between
	// stops of most entries, reloads of one and changes of the configuration in a plan without
	// failures.
	meanStopsInterval  = 3 * time.Second
	meanReloadInterval = 300 * time.Millisecond
	meanChangeInterval = 1500 * time.Millisecond
	// meanEndlessInterval is the mean time between two times of answers without end, which last
	// minEndless to maxEndless: they excuse answers that are cut.
	meanEndlessInterval = 8 * time.Second
	minEndless          = 500 * time.Millisecond
	maxEndless          = 1500 * time.Millisecond
	// settleTime is the time without faults at the beginning, for the start, and at the
	// end, for the recovery.
	settleTime = 3 * time.Second
	// minDuration and maxDuration bound the duration of a fault. maxDuration is longer
	// than an entry may be unresponsive before its peers consider it gone.
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
)

// weights are the relative frequencies of the kinds. Changes are more frequent than
// failures.
var weights = []struct {
	kind Kind
	n    int
}{
	{Configure, 6}, {Rollout, 2}, {EntryStop, 3}, {EntryKill, 3}, {EntryPause, 3}, {EntryReload, 1}, {AllKill, 1},
	{StoreFault, 3}, {StoreCompact, 1}, {StoreLink, 4},
	{UpstreamCrash, 3}, {UpstreamDrain, 4}, {UpstreamRestart, 2}, {UpstreamLink, 4},
}

// Good and Bad are the variants of a roll-out: to a working or a faulty version.
const (
	Good = "good"
	Bad  = "bad"
)

var versions = []string{Good, Bad}

var links = []string{"delay", "reset", "silence", "mute"}

// answerKinds are the kinds of faults of answers, with the statuses of their answers.
var answerKinds = []struct {
	kind     Kind
	statuses []string
}{
	{UpstreamRanRefused, []string{"408", "429", "503"}},
	{UpstreamRepeat, []string{"421", "503"}},
}

// limits are the rates that upstreams state, in requests a second.
var limits = []string{"0.5", "2", "5"}

// New draws the faults of a soak of the given length, sorted by time.
func New(seed uint64, length time.Duration, storeFaults []string) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	sum := 0
	for _, w := range weights {
		sum += w.n
	}
	var list []Fault
	for at := settleTime; at < length-settleTime; at += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
		f := newFault(r, at)
		n := r.IntN(sum)
		for _, w := range weights {
			if n < w.n {
				f.Kind = w.kind
				break
			}
			n -= w.n
		}
		switch f.Kind {
		case StoreFault:
			f.Variant = storeFaults[r.IntN(len(storeFaults))]
		case Rollout:
			f.Variant = versions[r.IntN(len(versions))]
		case StoreLink, UpstreamLink:
			f.Variant = links[r.IntN(len(links))]
		}
		list = append(list, f)
	}
	list = append(list, answerFaults(seed, length)...)
	list = append(list, engineFaults(seed, length)...)
	list = append(list, wishes(seed, length)...)
	list = append(list, silences(seed, length)...)
	list = append(list, engineSilences(seed, length)...)
	list = append(list, promptCrashes(seed, length)...)
	list = append(list, requestCrashes(seed, length)...)
	list = append(list, upstreamLimits(seed, length)...)
	list = append(list, endlessAnswers(seed, length)...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}

// Planned draws only planned work: stops of most entries, reloads and new configurations, beside
// silences of sound upstreams. No answer may be lost under it, whereas failures, which New draws
// too, excuse most of them.
func Planned(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 10))
	list := append(silences(seed, length), engineSilences(seed, length)...)
	for _, w := range []struct {
		kind Kind
		mean time.Duration
	}{{EntriesStop, meanStopsInterval}, {EntryReload, meanReloadInterval}, {Configure, meanChangeInterval}} {
		for at := settleTime; at < length-settleTime; at += minDuration + time.Duration(r.ExpFloat64()*float64(w.mean)) {
			f := newFault(r, at)
			f.Kind = w.kind
			list = append(list, f)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}

// newFault returns a fault without a kind at the given time.
func newFault(r *rand.Rand, at time.Duration) Fault {
	return Fault{At: at, Target: r.IntN(1 << 16), Duration: minDuration + time.Duration(r.Float64()*float64(maxDuration-minDuration))}
}

// answerFaults draws the faults of answers. They have random numbers of their own, so
// that a seed gives the same other faults with and without them.
func answerFaults(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 2))
	var list []Fault
	for at := settleTime; at < length-settleTime; at += time.Duration(r.ExpFloat64() * float64(meanAnswerInterval)) {
		f := newFault(r, at)
		k := answerKinds[r.IntN(len(answerKinds))]
		f.Kind, f.Variant = k.kind, k.statuses[r.IntN(len(k.statuses))]
		list = append(list, f)
	}
	return list
}

// engineFaults draws the faults of all engines, also with random numbers of their own.
func engineFaults(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	var list []Fault
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanRefusalInterval)) }
	for at := settleTime + next(); at < length-settleTime; at += next() {
		f := newFault(r, at)
		f.Kind, f.Variant = EnginesRefuse, "503"
		list = append(list, f)
	}
	return list
}

// wishes draws the faults of upstreams that want no requests, also with random numbers
// of their own.
func wishes(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 4))
	var list []Fault
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanWishInterval)) }
	for at := settleTime + next(); at < length-settleTime; at += next() {
		f := newFault(r, at)
		f.Kind = UpstreamLeave
		if r.IntN(2) == 0 {
			f.Kind, f.Variant = UpstreamPause, "1"
		}
		list = append(list, f)
	}
	return list
}

// silences draws the silences of sound upstreams, also with random numbers of their own.
func silences(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 5))
	var list []Fault
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanSilenceInterval)) }
	for at := settleTime + next(); at < length-settleTime; at += next() {
		f := newFault(r, at)
		f.Kind, f.Duration = UpstreamSilence, minSilence+time.Duration(r.Float64()*float64(maxSilence-minSilence))
		list = append(list, f)
	}
	return list
}

// engineSilences draws the silences of all engines, also with random numbers of their own.
func engineSilences(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 9))
	var list []Fault
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanEnginesSilenceInterval)) }
	for at := settleTime + next(); at < length-settleTime; at += next() {
		f := newFault(r, at)
		f.Kind, f.Duration = EnginesSilence, minEnginesSilence+time.Duration(r.Float64()*float64(maxEnginesSilence-minEnginesSilence))
		list = append(list, f)
	}
	return list
}

// promptCrashes draws the time in which requests come under which engines crash, also with
// random numbers of its own.
func promptCrashes(seed uint64, length time.Duration) []Fault {
	return crashes(PromptCrash, rand.New(rand.NewPCG(seed, 6)), length)
}

// requestCrashes draws the time in which one request comes again under which upstreams
// crash, also with random numbers of its own.
func requestCrashes(seed uint64, length time.Duration) []Fault {
	return crashes(RequestCrash, rand.New(rand.NewPCG(seed, 8)), length)
}

func crashes(kind Kind, r *rand.Rand, length time.Duration) []Fault {
	f := newFault(r, settleTime+time.Duration(r.Float64()*float64(maxPromptCrashDelay)))
	f.Kind, f.Duration = kind, length-settleTime-f.At
	if f.Duration < minDuration {
		return nil
	}
	return []Fault{f}
}

// endlessAnswers draws the times of answers without end, also with random numbers of their own.
func endlessAnswers(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 10))
	var list []Fault
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanEndlessInterval)) }
	for at := settleTime + next(); at < length-settleTime; at += next() {
		f := newFault(r, at)
		f.Kind, f.Duration = UpstreamEndless, minEndless+time.Duration(r.Float64()*float64(maxEndless-minEndless))
		list = append(list, f)
	}
	return list
}

// upstreamLimits draws the limits of upstreams, also with random numbers of their own. The
// first one comes at once: few would be long enough in a short soak.
func upstreamLimits(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 7))
	var list []Fault
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanLimitInterval)) }
	for at := settleTime; at+minLimitTime <= length-settleTime; at += next() {
		f := newFault(r, at)
		f.Kind, f.Variant = UpstreamLimit, limits[r.IntN(len(limits))]
		f.Duration = min(minLimitTime+time.Duration(r.Float64()*float64(maxLimitTime-minLimitTime)), length-settleTime-at)
		list = append(list, f)
	}
	return list
}
