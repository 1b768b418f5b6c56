package ledger

import (
	"fmt"
	"testing"
	"time"

	"agateward/ward"
)

// Guards against a ledger that misses requests beyond a limit, or counts those that the
// limit does not bind.
func TestLimitFindings(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	request := func(id string, sent float64) Request {
		return Request{ID: id, Team: "t", Kind: ward.ForwardSafe, Service: "s", Entry: "entry-1", Start: 1, Sent: at(sent), Timeout: 2 * time.Second}
	}
	// send has a request arrive every 100 ms from one time to another, in seconds.
	send := func(l *Ledger, from, to float64) {
		for n := 0; from+float64(n)/10 < to; n++ {
			r := request(fmt.Sprint("r", n), from+float64(n)/10)
			l.Sent(r)
			l.Arrived(r.ID, "i-1", r.Sent)
		}
	}
	named := func(l *Ledger, perSecond, from float64) {
		l.Sent(request("first", from-0.1))
		l.Limited("first", "i-1", perSecond, at(from))
	}
	cases := []struct {
		name string
		play func(l *Ledger)
		want bool
	}{
		{"beyond the limit", func(l *Ledger) { named(l, 2, 0); send(l, 0.5, 6) }, true},
		{"within the limit", func(l *Ledger) { named(l, 6, 0); send(l, 0.5, 6) }, false},
		{"before it binds", func(l *Ledger) { named(l, 2, 0); send(l, 0.5, 2.9) }, false},
		{"right before it binds", func(l *Ledger) { named(l, 2, 0); send(l, 0.5, 3.2) }, true},
		{"not told", func(l *Ledger) { l.Limited("other", "i-1", 2, at(0)); send(l, 0.5, 6) }, false},
		{"at another upstream", func(l *Ledger) { l.Limited("other", "i-2", 2, at(0)); send(l, 0.5, 6) }, false},
		{"ended", func(l *Ledger) { named(l, 2, 0); l.Limited("first", "i-1", 0, at(1)); send(l, 1.1, 6) }, false},
		{"entry frozen", func(l *Ledger) { named(l, 2, 0); l.Disturb("entry-1", false, at(1))(at(4)); send(l, 1, 6) }, false},
		{"store disturbed", func(l *Ledger) { named(l, 2, 0); l.Disturb(Store, false, at(1))(at(4)); send(l, 1, 6) }, true},
		{"held up", func(l *Ledger) { named(l, 2, 0); l.Disturb("i-1", false, at(1))(at(4)); send(l, 1, 6) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &Ledger{Bounds: DefaultBounds()}
			c.play(l)
			var found []Finding
			for _, f := range l.Findings() {
				if f.Promise == "limit" {
					found = append(found, f)
				}
			}
			if (len(found) > 0) != c.want {
				t.Errorf("found %v, want any: %v", found, c.want)
			}
		})
	}
}
