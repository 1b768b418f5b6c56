package runrecords

import (
	"errors"
	"fmt"
	"time"

	"agateward/internal/run/record"
	"agateward/internal/run/shard"
	"agateward/ward"
)

// strategies returns the four strategies; those with shards have n.
func strategies(n int) []strategy {
	return []strategy{
		{"record-per-request", startDirect},
		{"journal-per-entry", startJournals},
		{"leased-shard", func(w *simulation) func(int, request) { return startLeasedShards(w, n) }},
		{"shared-shard", func(w *simulation) func(int, request) { return startSharedShards(w, n) }},
	}
}

// startDirect creates a key for each request and writes the outcome to it. The
// later deletion of the key is counted but not simulated.
func startDirect(w *simulation) func(int, request) {
	var begin func(entry int, r request)
	finish := func(int, string, uint64) {}
	finish = func(entry int, key string, revision uint64) {
		w.swap(entry, key, revision, []byte("finished"), func(_ ward.Record, err error) {
			if errors.Is(err, ward.ErrOverBudget) {
				w.after(retryWait, func() { finish(entry, key, revision) })
				return
			}
			w.extraWrites++ // the deletion of the key
		})
	}
	begin = func(entry int, r request) {
		key := "runs/" + r.id
		w.swap(entry, key, 0, []byte("begun"), func(rec ward.Record, err error) {
			switch {
			case err == nil:
				w.recordBegun(r)
				w.after(runTime, func() { finish(entry, key, rec.Revision) })
			case w.overdue(r):
				w.refuse()
			default:
				w.after(retryWait, func() { begin(entry, r) })
			}
		})
	}
	return begin
}

// log is a document with a single writer, which writes in groups.
type log struct {
	w        *simulation
	entry    int
	key      string
	revision uint64
	busy     bool
	waiting  []request
	outcomes int
	oldest   time.Time
	// written is called when a group has been written to the store.
	written func(group []request)
}

func (l *log) add(r request) {
	l.waiting = append(l.waiting, r)
	l.next()
}

// finish records an outcome, to be written with the next group or after
// shard.DefaultLinger.
func (l *log) finish() {
	if l.outcomes == 0 {
		l.oldest = l.w.time
	}
	l.outcomes++
	l.w.after(shard.DefaultLinger, l.next)
}

func (l *log) next() {
	for len(l.waiting) > 0 && l.w.overdue(l.waiting[0]) {
		l.w.refuse()
		l.waiting = l.waiting[1:]
	}
	due := l.outcomes > 0 && l.w.time.Sub(l.oldest) >= shard.DefaultLinger
	if l.busy || len(l.waiting) == 0 && !due {
		return
	}
	l.busy = true
	group, outcomes := l.waiting, l.outcomes
	l.waiting, l.outcomes = nil, 0
	l.w.swap(l.entry, l.key, l.revision, []byte("log"), func(rec ward.Record, err error) {
		l.busy = false
		if err != nil {
			l.waiting = append(group, l.waiting...)
			l.outcomes += outcomes
			l.w.after(retryWait, l.next)
			return
		}
		l.revision = rec.Revision
		l.written(group)
		l.next()
	})
}

// startJournals has each entry write its own journal and then read all others,
// because another entry may have begun the same key.
func startJournals(w *simulation) func(int, request) {
	var logs []*log
	for i := range w.entries {
		l := &log{w: w, entry: i, key: fmt.Sprint("runs/", i)}
		l.written = func(group []request) { readOthers(w, l, group) }
		logs = append(logs, l)
	}
	return func(entry int, r request) { logs[entry].add(r) }
}

// readOthers reads each other journal once per group, as soon as the budget
// allows, and then admits the group.
func readOthers(w *simulation, l *log, group []request) {
	if len(group) == 0 {
		return
	}
	left := w.entries - 1
	for i := range w.entries {
		if i == l.entry {
			continue
		}
		var try func()
		try = func() {
			w.get(l.entry, fmt.Sprint("runs/", i), func(_ ward.Record, err error) {
				if err != nil && !w.overdue(group[0]) {
					w.after(retryWait, try)
					return
				}
				if left--; left == 0 {
					l.admit(group)
				}
			})
		}
		try()
	}
}

// admit starts the requests of a group that haven't exceeded waitLimit, and
// refuses the others.
func (l *log) admit(group []request) {
	for _, r := range group {
		if l.w.overdue(r) {
			l.w.refuse()
			continue
		}
		l.w.recordBegun(r)
		l.w.after(runTime, l.finish)
	}
}

// leaseRenewal is the interval at which the owner of a shard renews its lease.
const leaseRenewal = 3 * time.Second

// startLeasedShards has each shard written by the entry that holds its lease; the
// other entries send it their records.
func startLeasedShards(w *simulation, n int) func(int, request) {
	var logs []*log
	for i := range n {
		l := &log{w: w, entry: i % w.entries, key: fmt.Sprint("runs/", i)}
		l.written = func(group []request) {
			w.after(w.hopTime()/2, func() { l.admit(group) })
		}
		logs = append(logs, l)
	}
	var renew func()
	renew = func() {
		w.extraWrites += n
		w.after(leaseRenewal, renew)
	}
	renew()
	return func(_ int, r request) {
		l := logs[record.KeyOf("club", r.id).Shard(n)]
		w.after(w.hopTime()/2, func() { l.add(r) })
	}
}

// member is a shard at one entry.
type member struct {
	w       *simulation
	entry   int
	key     string
	shard   shard.Shard
	pending map[string]pendingRequest
}

type pendingRequest struct {
	request request
	claim   record.Claim
}

// startSharedShards runs the real shards, which any entry writes.
func startSharedShards(w *simulation, n int) func(int, request) {
	var members []*member
	for i := range w.entries * n {
		m := &member{w: w, entry: i / n, key: fmt.Sprint("runs/", i%n), pending: map[string]pendingRequest{}}
		m.shard.Name = fmt.Sprint(m.entry)
		members = append(members, m)
	}
	return func(entry int, r request) {
		k := record.KeyOf("club", r.id)
		m := members[entry*n+k.Shard(n)]
		c := record.Claim{Key: k, BodyHash: 1, Attempt: r.id, Until: w.time.Add(time.Minute)}
		m.pending[r.id] = pendingRequest{r, c}
		m.execute(m.shard.Claim(w.time, c))
	}
}

func (m *member) execute(actions []shard.Action) {
	for _, a := range actions {
		switch a.Kind {
		case shard.Read:
			m.w.get(m.entry, m.document(a), m.done)
		case shard.Write:
			m.w.swap(m.entry, m.document(a), a.Revision, a.Value, m.done)
		case shard.Wake:
			m.w.after(a.At.Sub(m.w.time), func() { m.execute(m.shard.Tick(m.w.time)) })
		case shard.Reply:
			m.reply(a)
		}
	}
}

func (m *member) document(a shard.Action) string {
	if a.Archive == "" {
		return m.key
	}
	return m.key + "/" + a.Archive
}

func (m *member) done(rec ward.Record, err error) {
	m.execute(m.shard.Done(m.w.time, shard.Result{Record: rec, Err: err}))
}

func (m *member) reply(a shard.Action) {
	o := m.pending[a.Attempt]
	delete(m.pending, a.Attempt)
	if a.Verdict.Kind != record.Run {
		m.w.refuse()
		return
	}
	m.w.recordBegun(o.request)
	m.w.after(runTime, func() {
		body := []byte(`{"seats":2,"table":"7"}`)
		m.execute(m.shard.Settle(m.w.time, record.Outcome{Claim: o.claim, State: record.Finished, Status: 200, Kept: true, Body: body}))
	})
}
