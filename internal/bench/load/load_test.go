package load

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"agateward/internal/bench/mix"
	"agateward/internal/bench/tally"
	"agateward/internal/standin/batch"
	"agateward/internal/standin/engine"
	"agateward/internal/standin/service"
)

// target serves model and service calls on one port, as an entry does.
func target(t *testing.T, e *engine.Server, s *service.Server) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			e.ServeHTTP(w, r)
			return
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func run(t *testing.T, e *engine.Server, s *service.Server) (*tally.Tally, tally.Violations) {
	t.Helper()
	m, err := mix.Named("tafelberg")
	if err != nil {
		t.Fatal(err)
	}
	ty := &tally.Tally{}
	g := Generator{Targets: []string{target(t, e, s)}, Mix: m, Rate: 200, Duration: 500 * time.Millisecond, Seed: 1, Tally: ty}
	if err := g.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	runs := e.Runs()
	maps.Copy(runs, s.Runs())
	return ty, ty.Check(runs)
}

var fast = batch.Profile{PrefillRate: 1e7, DecodeBase: 20 * time.Microsecond, DecodePerSequence: time.Microsecond}

func TestGoodAnswers(t *testing.T) {
	ty, v := run(t, &engine.Server{Profile: fast}, &service.Server{ChecksIdempotency: true})
	if v.Sum() != 0 || ty.Count(tally.Good) == 0 || ty.Count(tally.Cut)+ty.Count(tally.Failed) != 0 {
		t.Errorf("violations %+v, tiers %+v", v, ty.Tiers())
	}
}

// TestFindsViolations checks that double runs, truncated answers and false promises of
// upstreams are detected.
func TestFindsViolations(t *testing.T) {
	_, v := run(t, &engine.Server{Profile: fast}, &service.Server{})
	if v.DoubleRuns == 0 {
		t.Errorf("violations %+v, want double runs of repeated orders", v)
	}
	ty, _ := run(t, &engine.Server{Profile: fast, CutShare: 1}, &service.Server{ChecksIdempotency: true})
	if ty.Count(tally.Cut) == 0 {
		t.Error("cut answers were not seen")
	}
	_, v = run(t, &engine.Server{Profile: fast}, &service.Server{ChecksIdempotency: true, Faults: []service.Fault{{BusyShare: 1}}})
	if v.FalseNotRun == 0 {
		t.Errorf("violations %+v, want orders that ran and were answered with 503", v)
	}
}
