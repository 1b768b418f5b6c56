package gate

import (
	"slices"
	"strconv"
	"sync"
	"testing"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/dialect"
	"agateward/internal/forward/replicas"
	"agateward/internal/forward/view"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// Guards against an older list of upstreams that replaces a newer one, as two changes of the
// view are taken over at once: the entry would use it until the next change.
func TestNewestUpstreamsAreSetLast(t *testing.T) {
	v := &view.View{Log: logr.Discard(), Changed: func() {}}
	g := &Gate{Dialect: dialect.Native{}, View: v, Pool: &backend.Pool{}, Log: logr.Discard()}
	g.Prepare(Setup{Name: "entry-1", DataCentre: "a"})
	const (
		rounds    = 400
		upstreams = 100
	)
	for round := range uint64(rounds) {
		version := "v" + strconv.FormatUint(round, 10)
		state := view.State{Revision: (round + 1) * upstreams}
		for i := range uint64(upstreams) {
			id := strconv.FormatUint(i, 10)
			state.Replicas = append(state.Replicas, replicas.Entry{Revision: round*upstreams + i + 1, Replica: ward.Replica{
				ID: "i-" + id, Service: "s", Version: version, Address: "10.0.0.1:" + id, Slots: 4,
			}})
		}
		var wg sync.WaitGroup
		for range 24 {
			wg.Go(g.Refresh) // may take the list from before the change
		}
		v.Merge("entry-2", state)
		wg.Go(g.Refresh)
		wg.Wait()
		if got := g.sched.Versions("s"); !slices.Equal(got, []string{version}) {
			t.Fatalf("round %d: versions %v, want %s", round, got, version)
		}
	}
}
