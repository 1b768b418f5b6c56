package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"agateward/internal/forward/gate"
	"agateward/internal/forward/returns"
	"agateward/internal/forward/schedule"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
)

// Guards against returned callers that are not recognized at another entry: requests are
// refused at one entry with a promise and come back at another one, which must serve them,
// and to which the first one tells its promises.
func TestReturnAtAnotherEntry(t *testing.T) {
	for _, on := range []bool{true, false} {
		t.Run(fmt.Sprint("prefer-returns ", on), func(t *testing.T) {
			upstream := newUpstream(t, func(w io.Writer, r *http.Request, _ int64) bool {
				time.Sleep(100 * time.Millisecond)
				return ok(w, r, "fine")
			})
			log, sets := [2]*lines{{}, {}}, [2]*metrics.Set{metrics.NewSet(), metrics.NewSet()}
			var gates [2]*gate.Gate
			var urls [2]func(id string) answer
			for i := range gates {
				server := newGateSetup(t, func(g *gate.Gate) {
					gates[i] = g
					g.Metrics, g.Log = &gate.Metrics{Set: sets[i]}, funcr.New(log[i].add, funcr.Options{})
				}, func(s *gate.Setup) { s.Scheduling = schedule.Options{PreferReturns: on} }, upstream)
				urls[i] = func(id string) answer { return do(t, server, "POST", "/unsafe/"+id, nil) }
			}
			flood(50, 20*time.Millisecond, urls[0]) // the first entry learns the rate of departures
			refused := flood(100, time.Millisecond, urls[0])
			promised := log[0].count(`"promise"=true`)
			if (promised > 0) != on {
				t.Fatalf("%d of %d refusals are promises", promised, len(refused))
			}
			for _, a := range refused {
				if a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "" {
					t.Error("a refusal without Retry-After")
				}
			}
			news, _ := gates[0].ReturnNews()
			if len(news.Given) > promised || on == news.Empty() {
				t.Fatalf("%d promises told of %d", len(news.Given), promised)
			}
			gates[1].MergeReturns("entry-2", news)
			time.Sleep(time.Second)
			var wg sync.WaitGroup
			for id := range refused {
				wg.Go(func() { urls[1](id) })
			}
			wg.Wait()
			back := log[1].count(`"request-returned"`)
			served := counter(sets[1], fmt.Sprintf(`agateward_forward_returns_total{result="served"} %d`, back))
			if used, _ := gates[1].ReturnNews(); len(used.Used) != back || on != (back > 0) || served != on {
				t.Errorf("%d returns, %d told, counted %v, of %d promises", back, len(used.Used), served, len(news.Given))
			}
		})
	}
}

// flood sends n requests one after another without waiting for their answers, and returns
// the refused ones by id.
func flood(n int, pause time.Duration, send func(id string) answer) map[string]answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	refused := make(map[string]answer)
	for i := range n {
		time.Sleep(pause)
		wg.Go(func() {
			id := fmt.Sprint(n, "-", i)
			if a := send(id); a.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				refused[id] = a
			}
		})
	}
	wg.Wait()
	return refused
}

// Guards against a faulty peer: its promises are ignored, with one line.
func TestInvalidReturnNews(t *testing.T) {
	var g *gate.Gate
	log := &lines{}
	newGateSetup(t, func(x *gate.Gate) { g, x.Log = x, funcr.New(log.add, funcr.Options{}) },
		func(s *gate.Setup) { s.Scheduling.PreferReturns = true })
	g.MergeReturns("entry-2", returns.News{Given: []returns.Given{{Ahead: 1 << 40}, {Waited: -5}}})
	if n := log.count(`"return-news-invalid"`); n != 1 || log.count(`"ignored"=2`) != n {
		t.Errorf("%d lines, want one with 2 ignored", n)
	}
}
