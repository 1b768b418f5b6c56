package runrecords

import (
	"errors"
	"fmt"
	"time"

	"agateward/internal/run/record"
	"agateward/internal/run/shard"
	"agateward/ward"
)

// ways returns the four ways, with n shards where they have shards.
func ways(n int) []way {
	return []way{
		{"record-per-request", directWay},
		{"journal-per-entry", journalWay},
		{"leased-shard", func(w *world) func(int, request) { return leasedWay(w, n) }},
		{"shared-shard", func(w *world) func(int, request) { return sharedWay(w, n) }},
	}
}

// directWay creates a key for each request, writes its outcome to it, and later
// deletes it, which is counted and not simulated.
func directWay(w *world) func(int, request) {
	var begin func(entry int, r request)
	finish := func(int, string, uint64) {}
	finish = func(entry int, key string, revision uint64) {
		w.swap(entry, key, revision, []byte("finished"), func(_ ward.Record, err error) {
			if errors.Is(err, ward.ErrOverBudget) {
				w.after(retryWait, func() { finish(entry, key, revision) })
				return
			}
			w.extra++ // its deletion
		})
	}
	begin = func(entry int, r request) {
		key := "runs/" + r.id
		w.swap(entry, key, 0, []byte("begun"), func(rec ward.Record, err error) {
			switch {
			case err == nil:
				w.begun(r)
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

// log is a document that one entry alone writes, in groups.
type log struct {
	w        *world
	entry    int
	key      string
	revision uint64
	busy     bool
	waiting  []request
	outcomes int
	oldest   time.Time
	// written is called when a group is in the store.
	written func(group []request)
}

func (l *log) add(r request) {
	l.waiting = append(l.waiting, r)
	l.next()
}

// finish notes an outcome, which goes with the next group or after Linger.
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

// journalWay has each entry write its own journal, and then read all others for
// the key: two entries may have begun the same one.
func journalWay(w *world) func(int, request) {
	var logs []*log
	for i := range w.entries {
		l := &log{w: w, entry: i, key: fmt.Sprint("runs/", i)}
		l.written = func(group []request) { readOthers(w, l, group) }
		logs = append(logs, l)
	}
	return func(entry int, r request) { logs[entry].add(r) }
}

// readOthers reads each other journal once for the whole group, as soon as the
// budget allows.
func readOthers(w *world, l *log, group []request) {
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

// admit begins the requests of a group that are still in time.
func (l *log) admit(group []request) {
	for _, r := range group {
		if l.w.overdue(r) {
			l.w.refuse()
			continue
		}
		l.w.begun(r)
		l.w.after(runTime, l.finish)
	}
}

// leaseRenewal is how often the owner of a shard renews its lease.
const leaseRenewal = 3 * time.Second

// leasedWay has each shard written by the entry that holds its lease, to which
// the others hand their records.
func leasedWay(w *world, n int) func(int, request) {
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
		w.extra += n
		w.after(leaseRenewal, renew)
	}
	renew()
	return func(_ int, r request) {
		l := logs[record.KeyOf("club", r.id).Shard(n)]
		w.after(w.hopTime()/2, func() { l.add(r) })
	}
}

// member is one shard at one entry, driven by events.
type member struct {
	w     *world
	entry int
	key   string
	shard shard.Shard
	open  map[string]opened
}

type opened struct {
	request request
	claim   record.Claim
}

// sharedWay is the real code.
func sharedWay(w *world, n int) func(int, request) {
	var members []*member
	for i := range w.entries * n {
		m := &member{w: w, entry: i / n, key: fmt.Sprint("runs/", i%n), open: map[string]opened{}}
		m.shard.Name = fmt.Sprint(m.entry)
		members = append(members, m)
	}
	return func(entry int, r request) {
		k := record.KeyOf("club", r.id)
		m := members[entry*n+k.Shard(n)]
		c := record.Claim{Key: k, BodyHash: 1, Attempt: r.id, Until: w.time.Add(time.Minute)}
		m.open[r.id] = opened{r, c}
		m.carry(m.shard.Claim(w.time, c))
	}
}

func (m *member) carry(actions []shard.Action) {
	for _, a := range actions {
		switch a.Kind {
		case shard.Read:
			m.w.get(m.entry, m.document(a), m.done)
		case shard.Write:
			m.w.swap(m.entry, m.document(a), a.Revision, a.Value, m.done)
		case shard.Wake:
			m.w.after(a.At.Sub(m.w.time), func() { m.carry(m.shard.Tick(m.w.time)) })
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
	m.carry(m.shard.Done(m.w.time, shard.Result{Record: rec, Err: err}))
}

func (m *member) reply(a shard.Action) {
	o := m.open[a.Attempt]
	delete(m.open, a.Attempt)
	if a.Verdict.Kind != record.Run {
		m.w.refuse()
		return
	}
	m.w.begun(o.request)
	m.w.after(runTime, func() {
		body := []byte(`{"seats":2,"table":"7"}`)
		m.carry(m.shard.Settle(m.w.time, record.Outcome{Claim: o.claim, State: record.Finished, Status: 200, Kept: true, Body: body}))
	})
}
