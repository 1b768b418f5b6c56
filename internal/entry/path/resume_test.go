package path

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/entry/relay"
	"agateward/internal/platform/memory"
	"agateward/internal/result/code"
	"agateward/ward"
)

// dyingEngine is an engine that connects only the first dispatches of each request, and
// cuts each stream after a token.
type dyingEngine struct {
	ward.Backend
	connects   int
	dispatches map[string]int
}

func (f *dyingEngine) Dispatch(_ context.Context, u ward.Upstream, q *ward.Request, _ int) (ward.Answer, error) {
	f.dispatches[q.ID]++
	if f.dispatches[q.ID] > f.connects {
		return nil, code.UpstreamUnreachable.Wrap(ward.ErrNotConnected, "connect to %s", u.Name)
	}
	return &cutStream{}, nil
}

// cutStream is a stream that can be resumed and is cut after its first token.
type cutStream struct{ n int }

func (s *cutStream) Next(context.Context) (ward.Chunk, error) {
	s.n++
	switch s.n {
	case 1:
		return ward.Chunk{Status: http.StatusOK, CanResume: true}, nil
	case 2:
		return ward.Chunk{Data: []byte("x"), Tokens: 1}, nil
	}
	return ward.Chunk{}, code.AnswerCut.New("the stream ended")
}

func (s *cutStream) Close() error { return nil }

// TestStreamsOfDeadEngines guards against decisions on an earlier dispatch of a stream
// that block the path, or that hold capacity after the stream has ended.
func TestStreamsOfDeadEngines(t *testing.T) {
	const streams, engines = 30, 20
	cases := []struct {
		name     string
		connects int
	}{
		{"no stream is resumed", 1},
		{"each stream is resumed once", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := &ward.Config{Revision: 1, Routes: []ward.Route{{Name: "menus", Kind: ward.KindEngine, Serves: "writer", Version: "v1"}}}
				for i := range engines {
					cfg.Upstreams = append(cfg.Upstreams, ward.Upstream{Name: fmt.Sprint("engine-", i), Kind: ward.KindEngine, Serves: "writer", Version: "v1"})
				}
				p := newPath(t, &memory.Platform{}, &relay.Relay{Engine: &dyingEngine{connects: c.connects, dispatches: map[string]int{}}}, cfg)
				for i := range streams {
					q := &ward.Request{
						ID: fmt.Sprint(i), Team: "guests", Tier: ward.TierTop, Route: "menus", Kind: ward.KindEngine, Serves: "writer",
						Stream: true, PromptTokens: 10, MaxOutput: 10, Header: http.Header{}, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
					}
					a, err := p.Open(t.Context(), q)
					if code.Of(err).Run == ward.NotRun && err != nil {
						continue
					}
					for err == nil {
						_, err = a.Next(t.Context())
					}
					if !code.AnswerCut.Is(err) {
						t.Errorf("stream %d ended with %v, want %s", i, err, code.AnswerCut)
					}
					_ = a.Close()
				}
				time.Sleep(time.Second)
				if s := p.State(); p.Count() != 0 || s.Running != 0 || s.Waiting != [ward.TierCount]int{} {
					t.Errorf("%d requests open, %d running, %v waiting; want none", p.Count(), s.Running, s.Waiting)
				}
			})
		})
	}
}
