package rig

import (
	"testing"
	"time"

	"agateward/internal/bench/load"
	"agateward/internal/bench/mix"
	"agateward/internal/bench/tally"
	"agateward/internal/config/settings"
	"agateward/internal/standin/batch"
	"agateward/ward"
)

// TestRig sends load through a fleet after one entry was killed and restarted.
func TestRig(t *testing.T) {
	r := &Rig{
		Entries: 2, Engines: 2, Services: 1,
		Profile: batch.Profile{PrefillRate: 1e7, DecodeBase: 50 * time.Microsecond, DecodePerSequence: time.Microsecond},
		Tune:    func(s *settings.Settings) { s.Stop.BalancerLag = ward.Duration(10 * time.Millisecond) },
	}
	if err := r.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Fleet.Kill(0)
	if err := r.Fleet.Restart(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	m, err := mix.Named("tafelberg")
	if err != nil {
		t.Fatal(err)
	}
	var ty tally.Tally
	g := load.Generator{Pick: r.Pick, Mix: m, Rate: 50, Duration: time.Second, Seed: 1, Tally: &ty}
	if err := g.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	if v := ty.Check(r.Runs()); v.Sum() != 0 || ty.Count(tally.Good) == 0 {
		t.Errorf("violations %+v, tiers %+v", v, ty.Tiers())
	}
	r.Fleet.Stop(1)
}
