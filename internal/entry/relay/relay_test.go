package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/result/code"
	"agateward/internal/run/permit"
	"agateward/ward"

	"pgregory.net/rapid"
)

// fakeBackend is a backend whose n-th dispatch ends as plan[n] specifies.
type fakeBackend struct {
	ward.Backend
	plan    []ending
	length  int
	resumes bool
	calls   []int // the resume offset of each dispatch that reached an upstream
}

// ending is how one dispatch ends.
type ending struct {
	refused bool // no connection is made
	after   int  // number of tokens before the stream fails with err, if err is set
	err     error
}

func (f *fakeBackend) Dispatch(_ context.Context, _ ward.Upstream, _ *ward.Request, resume int) (ward.Answer, error) {
	e := ending{after: f.length}
	if len(f.plan) > 0 {
		e, f.plan = f.plan[0], f.plan[1:]
	}
	if e.refused {
		return nil, code.UpstreamUnreachable.Wrap(ward.ErrNotConnected, "dial")
	}
	f.calls = append(f.calls, resume)
	return &scriptedAnswer{fake: f, end: e, at: resume, head: true}, nil
}

// scriptedAnswer is an answer that ends as ending specifies.
type scriptedAnswer struct {
	fake *fakeBackend
	end  ending
	at   int
	sent int
	head bool
}

func (s *scriptedAnswer) Next(context.Context) (ward.Chunk, error) {
	switch {
	case s.head:
		s.head = false
		return ward.Chunk{Status: http.StatusOK, CanResume: s.fake.resumes}, nil
	case s.end.err != nil && s.sent >= s.end.after:
		return ward.Chunk{}, s.end.err
	case s.at >= s.fake.length:
		return ward.Chunk{Data: []byte("."), Last: true}, nil
	}
	s.at++
	s.sent++
	return ward.Chunk{Data: fmt.Appendf(nil, "%d,", s.at), Tokens: 1}, nil
}

func (s *scriptedAnswer) Close() error { return nil }

func collect(a ward.Answer) (string, error) {
	var b strings.Builder
	for {
		c, err := a.Next(context.Background())
		if err != nil {
			return b.String(), err
		}
		b.Write(c.Data)
		if c.Last {
			return b.String(), nil
		}
	}
}

func drawEnding(t *rapid.T) ending {
	errs := []error{nil, code.AnswerCut.New("x"), code.AnswerLate.New("x"), code.UpstreamFailed.New("x"), code.AnswerMismatch.New("x"), code.CallerGone.New("x")}
	return ending{
		refused: rapid.IntRange(0, 4).Draw(t, "refused") == 0,
		after:   rapid.IntRange(0, 6).Draw(t, "after"),
		err:     rapid.SampledFrom(errs).Draw(t, "err"),
	}
}

// TestAnswersAreCompleteOrFail fails and resumes streams at random. Tokens must be
// neither repeated nor missing, an incomplete stream must end with an error, and the
// request itself must be dispatched at most once.
func TestAnswersAreCompleteOrFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeBackend{
			length:  rapid.IntRange(0, 12).Draw(t, "length"),
			resumes: rapid.Bool().Draw(t, "resumes"),
			plan:    rapid.SliceOfN(rapid.Custom(drawEnding), 0, 6).Draw(t, "plan"),
		}
		ends := 0
		l := &Relay{Engine: f, Observe: func(*ward.Request, ward.Outcome) { ends++ }}
		others := rapid.IntRange(0, 5).Draw(t, "others")
		l.NextUpstream = func(_ *ward.Request, u ward.Upstream) (ward.Upstream, bool) {
			others--
			return u, others >= 0
		}
		r := &ward.Request{ID: "a", Kind: ward.KindEngine, Stream: true, NonIdempotent: rapid.Bool().Draw(t, "non-idempotent")}
		p := permit.New("a", time.Time{})
		attempts := 0
		for {
			attempts++
			a, err := l.Dispatch(context.Background(), p, ward.Upstream{}, r)
			if errors.Is(err, ward.ErrNotConnected) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			checkAnswer(t, f, a)
			_ = a.Close()
			break
		}
		if _, err := l.Dispatch(context.Background(), p, ward.Upstream{}, r); !code.OutcomeUnknown.Is(err) {
			t.Fatalf("dispatch with a spent permit: got error %v", err)
		}
		if r.NonIdempotent && len(f.calls) > 1 {
			t.Fatalf("a non-idempotent request was dispatched %d times", len(f.calls))
		}
		if reached := int(l.Stats.Dispatched.Load()); reached != len(f.calls) || ends != reached+int(l.Stats.NotConnected.Load()) {
			t.Fatalf("%d dispatches counted, %d made, %d outcomes observed", reached, len(f.calls), ends)
		}
	})
}

func checkAnswer(t *rapid.T, f *fakeBackend, a ward.Answer) {
	got, err := collect(a)
	var full strings.Builder
	for i := range f.length {
		fmt.Fprintf(&full, "%d,", i+1)
	}
	full.WriteByte('.')
	if err == nil && got != full.String() {
		t.Fatalf("complete answer %q, want %q", got, full.String())
	}
	if err != nil && (errors.Is(err, io.EOF) || !strings.HasPrefix(full.String(), got)) {
		t.Fatalf("incomplete answer %q ended with %v", got, err)
	}
	for i, resume := range f.calls {
		if i > 0 && resume == 0 {
			t.Fatal("the request was dispatched a second time")
		}
	}
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name                     string
		plan                     ending
		ok, cancelled, connected bool
		tokens                   int
	}{
		{"whole", ending{after: 3}, true, false, true, 3},
		{"refused", ending{refused: true}, false, false, false, 0},
		{"cut", ending{after: 2, err: code.AnswerCut.New("x")}, false, false, true, 2},
		{"caller gone", ending{after: 1, err: code.CallerGone.New("x")}, false, true, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []ward.Outcome
			l := &Relay{Engine: &fakeBackend{length: 3, plan: []ending{c.plan}}, Observe: func(_ *ward.Request, o ward.Outcome) { got = append(got, o) }}
			r := &ward.Request{ID: "a", Stream: true, PromptTokens: 9}
			if a, err := l.Dispatch(context.Background(), permit.New("a", time.Time{}), ward.Upstream{Name: "u"}, r); err == nil {
				_, _ = collect(a)
				_ = a.Close()
			}
			if len(got) != 1 {
				t.Fatalf("%d outcomes, want 1", len(got))
			}
			o := got[0]
			if o.OK != c.ok || o.Cancelled != c.cancelled || o.Connected != c.connected || o.OutputTokens != c.tokens || o.PromptTokens != 9 {
				t.Errorf("got %+v", o)
			}
		})
	}
}
