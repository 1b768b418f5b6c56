package view

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agateward/internal/forward/outage"
	"agateward/internal/forward/replicas"
	"agateward/ward"
)

// Feeds of the store, as logs name them.
const (
	feedOrders    = "orders"
	feedUpstreams = "upstreams"
)

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) {
	sleep(ctx, time.Duration(rand.Float64()*float64(maxStartJitter)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.follow(ctx, feedOrders, feed{list: v.listOrders, watch: v.watchOrders})
	}()
	v.follow(ctx, feedUpstreams, feed{list: v.listReplicas, watch: v.watchReplicas, peerRevision: v.replicasRevision, pause: v.upstreamsPause})
	<-done
}

// readFunc reads documents and returns the revision to go on from.
type readFunc func(ctx context.Context, revision uint64) (uint64, error)

// feed reads one kind of document.
type feed struct {
	list, watch readFunc
	// peerRevision returns the revision up to which peers sent the changes, 0 for
	// none. Nil means that reading always starts with a list.
	peerRevision func() uint64
	// pause is the pause after a change. Nil means coalesceDelay.
	pause func() time.Duration
}

// upstreamsPause is the pause after a change of the upstreams.
func (v *View) upstreamsPause() time.Duration {
	if v.Cells != nil && v.Cells() {
		return cellCoalesceDelay
	}
	return coalesceDelay
}

// follow lists documents and then watches them, and lists again when the store no
// longer has the history. An entry that begins to follow the store resumes at the
// revision that its peers sent.
func (v *View) follow(ctx context.Context, kind string, f feed) {
	list, watch := f.list, f.watch
	var revision uint64
	wait := minRetryDelay
	pause := func() time.Duration { return coalesceDelay }
	if f.pause != nil {
		pause = f.pause
	}
	next, resume := list, false
	for ctx.Err() == nil {
		if v.FollowsStore != nil && !v.FollowsStore() {
			next, resume = list, f.peerRevision != nil
			sleep(ctx, readerCheckInterval)
			continue
		}
		if resume {
			resume = false
			if revision = f.peerRevision(); revision > 0 {
				next = watch
			}
		}
		begun := time.Now()
		to, err := next(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ward.ErrHistoryGone):
			v.Log.Info("store-history-gone", "of", kind, "revision", ward.RevisionText(revision), "cause", err.Error())
			next = list
			if errors.Is(err, ward.ErrOutcomeUnknown) {
				// The answer could not be used, and the next one may be of the same kind.
				sleep(ctx, coalesceDelay)
			}
		case err != nil:
			v.noteFailure(kind, err)
			sleep(ctx, wait/2+time.Duration(rand.Float64()*float64(wait)))
			wait = min(wait*2, maxRetryDelay)
			if revision == 0 {
				next = list
			}
		default:
			v.noteAnswer(kind, to, begun)
			v.noteRevision(to, "store")
			changed := to != revision && revision > 0
			revision, next, wait = to, watch, minRetryDelay
			if changed {
				sleep(ctx, pause())
			}
		}
	}
}

// outage returns the tracker of a feed. The caller holds v.mu.
func (v *View) outage(kind string) *outage.Tracker {
	if v.outages == nil {
		v.outages = make(map[string]*outage.Tracker)
	}
	if v.outages[kind] == nil {
		v.outages[kind] = &outage.Tracker{}
	}
	return v.outages[kind]
}

func (v *View) noteFailure(kind string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.outage(kind)
	if !t.Failing() {
		v.Log.Info("store-lost", "of", kind, "error", err.Error())
	}
	t.Failed(errors.Is(err, ward.ErrConnectionLost))
}

// noteAnswer notes the answer to a call that has begun at a time. The store did not fail
// while it waited to answer.
func (v *View) noteAnswer(kind string, revision uint64, begun time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.outage(kind)
	gap, failing := begun.Sub(v.answered), t.Failing()
	v.answered = time.Now()
	ended := t.Answered(gap)
	if ended {
		v.recovered = v.answered
	}
	if ended || gap >= outage.MinLapse {
		v.steadySince = v.answered
	}
	if failing {
		v.Log.Info("store-regained", "of", kind, "revision", ward.RevisionText(revision), "outage", ended, "last-answer", gap)
	}
}

// steady reports whether no registration can have lapsed that the upstreams' list of
// revision lacks: the store has answered all the while, and is no older copy. The call has
// begun at a time. The caller holds v.mu.
func (v *View) steady(revision uint64, begun, now time.Time) bool {
	if _, lapse := v.lapseTime(begun, now); lapse {
		return false
	}
	return begun.Sub(v.answered) < outage.MinLapse && now.Sub(v.steadySince) >= replicas.MissingGrace &&
		!ward.LaterEra(revision, v.set.Revision)
}

// lapseTime returns since when a registration whose removal is read now, by a call that has
// begun at a time, may only have lapsed in an outage of the store, and whether it may. The
// caller holds v.mu.
func (v *View) lapseTime(begun, now time.Time) (time.Time, bool) {
	if v.outage(feedUpstreams).Ongoing(begun.Sub(v.answered)) {
		return now, true // the first answer after an outage
	}
	return v.recovered, now.Sub(v.recovered) < replicas.MissingGrace
}

// noteRevision notes a revision of the store. A later era means that the store has
// returned from an older copy: what was written to it since the copy is gone.
func (v *View) noteRevision(revision uint64, source string) {
	v.mu.Lock()
	old := v.revision
	v.revision = max(old, revision)
	v.mu.Unlock()
	was, _ := ward.SplitRevision(old)
	era, _ := ward.SplitRevision(revision)
	if old == 0 || era <= was {
		return
	}
	v.Log.Info("store-era-changed", "old-era", was, "new-era", era, "old-revision", ward.RevisionText(old),
		"new-revision", ward.RevisionText(revision), "source", source, "dropped", "leases and revisions of the old era")
	if v.EraChanged != nil {
		v.EraChanged()
	}
}

var errNoConfiguration = errors.New("the store holds no configuration yet")

func (v *View) listOrders(ctx context.Context, _ uint64) (uint64, error) {
	o, rev, err := v.Source.Orders(ctx)
	v.applyOrders(o)
	if err == nil {
		v.adoptEvacuationList(o.Evacuations, rev, "list of the store")
	}
	if err == nil && o.Forwarding.Version == 0 {
		err = errNoConfiguration
	}
	return rev, err
}

func (v *View) watchOrders(ctx context.Context, revision uint64) (uint64, error) {
	o, rev, err := v.Source.WatchOrders(ctx, revision, watchWait)
	v.applyOrders(o)
	return rev, err
}

// applyOrders puts the orders of the store in force and logs their faults.
func (v *View) applyOrders(o ward.Orders) {
	if o.Forwarding.Version > 0 {
		v.adopt(o.Forwarding, "store")
	}
	v.adoptRollouts(o.Rollouts, "store")
	v.adoptEvacuations(o.Evacuations, "store")
	for _, err := range o.Faults {
		v.Ignored.Note(v.Log, "order-ignored", "error", err.Error())
	}
}

func (v *View) listReplicas(ctx context.Context, _ uint64) (uint64, error) {
	begun := time.Now()
	regs, rev, err := v.Source.Replicas(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	v.mu.Lock()
	list := make([]replicas.Entry, 0, len(regs))
	for _, r := range regs {
		if v.usable(r) {
			list = append(list, replicas.Entry{Replica: r.Replica, Revision: r.Revision})
		}
	}
	steady := v.steady(rev, begun, now)
	changed := v.set.ApplyList(list, rev, now)
	if steady {
		changed = v.set.RemoveMissing(rev) || changed
	}
	first := !v.listed
	v.listed = true
	n := v.set.Len()
	v.mu.Unlock()
	if changed || first {
		v.Log.Info("upstreams-changed", "source", "list of the store", "revision", ward.RevisionText(rev), "count", n, "steady", steady)
		v.Changed()
	}
	return rev, nil
}

func (v *View) watchReplicas(ctx context.Context, revision uint64) (uint64, error) {
	begun := time.Now()
	regs, rev, err := v.Source.WatchReplicas(ctx, revision, watchWait)
	if err != nil {
		return revision, err
	}
	now := time.Now()
	v.mu.Lock()
	since, lapse := v.lapseTime(begun, now)
	changed := false
	var missing []string
	for _, r := range regs {
		switch {
		case !r.Removed && v.usable(r):
			changed = v.set.Put(r.Replica, r.Revision, now) || changed
		case lapse:
			v.set.MarkMissing(r.Replica.ID, r.Revision, since)
			missing = append(missing, r.Replica.ID)
		default:
			changed = v.set.Remove(r.Replica.ID, r.Revision) || changed
		}
	}
	n := v.set.Len()
	v.mu.Unlock()
	if len(missing) > 0 {
		v.Log.Info("upstreams-missing", "upstreams", missing, "revision", ward.RevisionText(rev), "recovered", now.Sub(since), "kept", replicas.MissingGrace-now.Sub(since))
	}
	if changed {
		v.Log.Info("upstreams-changed", "source", "store", "revision", ward.RevisionText(rev), "count", n, "events", len(regs))
		v.Changed()
	}
	return rev, nil
}

// replicasRevision returns the revision up to which the upstreams are known.
func (v *View) replicasRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.Revision
}

// usable reports whether a registration is valid, and logs its fault once per
// revision.
func (v *View) usable(r ward.Registration) bool {
	if r.Fault == "" {
		v.logNote(r)
		return true
	}
	if v.loggedFaults == nil || len(v.loggedFaults) >= maxNotes {
		v.loggedFaults = make(map[string]uint64)
	}
	if v.loggedFaults[r.Replica.ID] != r.Revision {
		v.loggedFaults[r.Replica.ID] = r.Revision
		v.Ignored.Note(v.Log, "registration-ignored", "upstream", r.Replica.ID, "revision", ward.RevisionText(r.Revision), "fault", r.Fault)
	}
	return false
}

// maxNotes bounds the upstreams whose notes, and those whose faults, are kept.
const maxNotes = 4096

// logNote logs the note on a registration once. Registrations are renewed every second.
func (v *View) logNote(r ward.Registration) {
	if r.Note == "" || v.loggedNotes[r.Replica.ID] == r.Note {
		return
	}
	if v.loggedNotes == nil || len(v.loggedNotes) >= maxNotes {
		v.loggedNotes = make(map[string]string)
	}
	v.loggedNotes[r.Replica.ID] = r.Note
	v.Log.Info("registration-value-replaced", "upstream", r.Replica.ID, "revision", ward.RevisionText(r.Revision), "value", r.Note)
}
