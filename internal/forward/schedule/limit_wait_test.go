package schedule

import (
	"testing"
	"time"

	"agateward/ward"
)

// Guards against a leaving upstream without a limit that ends the entry: it was asked for
// its limit when all others had one.
func TestLimitBesideLeavingUpstream(t *testing.T) {
	list := engines(2, 1)
	s := newScheduler("entry-1", list)
	a := dispatched(t, s.Arrive(job(1, 0, start), start))
	s.ObserveLimit(a.Job.ID, ward.RateLimit{Limited: true, PerSecond: 1}, start)
	for i := range list {
		list[i].Draining = list[i].ID != a.Upstream.ID
	}
	s.SetUpstreams(list, start)
	for id := uint64(2); id < 6; id++ {
		s.Arrive(job(id, 0, start), start)
	}
	later := start.Add(3 * time.Second)
	s.Tick(later)
	if n := s.Waiting(); n > 4 {
		t.Errorf("%d requests wait, 4 arrived", n)
	}
}
