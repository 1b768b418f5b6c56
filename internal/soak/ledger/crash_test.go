package ledger

import (
	"fmt"
	"testing"
	"time"

	"agateward/ward"
)

// prompts plays requests with and without a part under which engines crash.
type prompts struct {
	l *Ledger
	n int
	// cause is why upstreams crash, PartCrash if it is empty.
	cause Crash
}

func (p *prompts) crashes() Crash {
	if p.cause == NoCrash {
		return PartCrash
	}
	return p.cause
}

func second(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

// reach sends a request with the part, which arrives at an engine at once.
func (p *prompts) reach(at float64) string {
	id := p.send(at, true)
	p.l.Reached(id, "i-1", second(at))
	return id
}

func (p *prompts) send(at float64, crashes bool) string {
	p.n++
	id, cause := fmt.Sprint("r", p.n), NoCrash
	if crashes {
		cause = p.crashes()
	}
	p.l.Sent(Request{ID: id, Team: "t", Kind: ward.ForwardStream, Resumable: true, Service: "s", Entry: "entry-1", Sent: second(at), Timeout: time.Second, Crash: cause})
	return id
}

// crash lets n engines crash within a second.
func (p *prompts) crash(n int, at float64) {
	for i := range n {
		p.reach(at + float64(i)/10)
		p.l.Crashed(p.crashes(), second(at+float64(i)/10))
	}
}

// sound sends sound requests within a second, of which every part-th is served, and one
// with the part.
func (p *prompts) sound(n, part int, at float64) {
	for i := range n {
		from := at + float64(i)/float64(n)
		status := 503
		if i%part == 0 {
			status = 200
		}
		p.l.Answered(p.send(from, false), Answer{Status: status, Complete: true}, second(from+0.01))
	}
	p.send(at+1, true)
}

// Guards against requests that still crash engines once that is known, and against sound
// ones that are refused with them.
func TestPromptCrashes(t *testing.T) {
	reach := func(p *prompts, n int, at float64) {
		for i := range n {
			p.reach(at + float64(i)/10)
		}
	}
	cases := []struct {
		name string
		play func(p *prompts)
		want string
	}{
		{"four later requests", func(p *prompts) { p.crash(5, 10); reach(p, 4, 14) }, "crash-requests"},
		{"four later sends of one request", func(p *prompts) { p.cause = RequestCrash; p.crash(3, 10); reach(p, 4, 14) }, "crash-requests"},
		{"three later sends of one request", func(p *prompts) { p.cause = RequestCrash; p.crash(3, 10); reach(p, 3, 14) }, ""},
		{"many sends after two crashes", func(p *prompts) { p.cause = RequestCrash; p.crash(2, 10); reach(p, 20, 14) }, ""},
		{"three later requests", func(p *prompts) { p.crash(5, 10); reach(p, 3, 14) }, ""},
		{"four repeats of one", func(p *prompts) {
			p.crash(5, 10)
			id := p.send(14, true)
			for i := range 4 {
				p.l.Reached(id, fmt.Sprint("i-", i), second(14.1))
			}
		}, "crash-requests"},
		{"many requests within the bound", func(p *prompts) { p.crash(5, 10); reach(p, 20, 11) }, ""},
		{"many requests after four crashes", func(p *prompts) { p.crash(4, 10); reach(p, 20, 14) }, ""},
		{"from a disturbed entry", func(p *prompts) {
			p.crash(5, 10)
			p.l.Disturb("entry-1", false, second(11))(second(12))
			reach(p, 4, 14)
		}, ""},
		{"beside a disturbed store", func(p *prompts) {
			p.crash(5, 10)
			p.l.Disturb(Store, false, second(11))(second(12))
			reach(p, 4, 14)
		}, ""},
		{"held up at a disturbed engine", func(p *prompts) {
			p.crash(5, 10)
			p.l.Disturb("i-1", false, second(12))(second(13.9))
			reach(p, 4, 14)
		}, ""},
		{"at a leaving engine", func(p *prompts) {
			p.crash(5, 10)
			p.l.Disturb("i-1", true, second(12))
			reach(p, 4, 14)
		}, "crash-requests"},
		{"sound ones refused", func(p *prompts) { p.sound(40, 1, 8); p.crash(5, 10); p.sound(40, 3, 17) }, "crash-sound-requests"},
		{"sound ones refused after two crashes", func(p *prompts) { p.sound(40, 1, 8); p.crash(2, 10); p.sound(40, 3, 16.5) }, "crash-sound-requests"},
		{"half of the sound ones served", func(p *prompts) { p.sound(40, 1, 8); p.crash(5, 10); p.sound(40, 2, 17) }, ""},
		{"sound ones refused within the bound", func(p *prompts) { p.sound(40, 1, 8); p.crash(5, 10); p.sound(40, 3, 15) }, ""},
		{"sound ones refused before as well", func(p *prompts) { p.sound(40, 3, 8); p.crash(5, 10); p.sound(40, 3, 17) }, ""},
		{"few sound ones", func(p *prompts) { p.sound(40, 1, 8); p.crash(5, 10); p.sound(19, 3, 17) }, ""},
		{"sound ones at a disturbed entry", func(p *prompts) {
			p.sound(40, 1, 8)
			p.crash(5, 10)
			p.l.Disturb("entry-1", false, second(15))(second(16))
			p.sound(40, 3, 17)
		}, ""},
		{"sound ones while all engines answer wrongly", func(p *prompts) {
			p.sound(40, 1, 8)
			p.crash(5, 10)
			p.l.Disturb(Engines, true, second(16.9))(second(18))
			p.sound(40, 3, 17)
		}, ""},
		{"sound ones beside a disturbed engine", func(p *prompts) {
			p.sound(40, 1, 8)
			p.crash(5, 10)
			p.l.Disturb("i-2", false, second(16.9))(second(18))
			p.sound(40, 3, 17)
		}, "crash-sound-requests"},
		{"sound ones refused once the others have ended", func(p *prompts) {
			p.sound(40, 1, 8)
			p.crash(5, 10)
			p.send(17, true)
			for i := range 40 {
				p.l.Answered(p.send(18+float64(i)/40, false), Answer{Status: 503, Complete: true}, second(19))
			}
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &prompts{l: &Ledger{Bounds: DefaultBounds()}}
			c.play(p)
			got := p.l.Findings()
			if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0].Promise != c.want) {
				t.Errorf("found %+v, want %q", got, c.want)
			}
		})
	}
}
