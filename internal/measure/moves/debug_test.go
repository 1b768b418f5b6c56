package moves

import (
	"os"
	"runtime/pprof"
	"testing"
)

func TestDebug(t *testing.T) {
	if os.Getenv("DEBUG_MOVES") == "" {
		t.Skip()
	}
	for _, j := range variantJobs(1) {
		if j.group == "holder-killed/good" || j.group == "store-down/good" {
			w := newWorld(j.p, j.seed, j.f)
			r := w.run()
			if r.outcome != "move-done" {
				t.Logf("%s %d %+v\n%+v\nreason %s\n state %+v", j.group, j.seed, j.p, r, w.store.state.Reason, w.store.state)
			}
		}
	}
}

func TestProf(t *testing.T) {
	if os.Getenv("DEBUG_MOVES") == "" {
		t.Skip()
	}
	f, _ := os.Create("/tmp/helpers/moves.prof")
	pprof.StartCPUProfile(f)
	for i, j := range kindJobs(1) {
		if i < 60 && j.group == "good" {
			j.run(j.p, j.seed, j.f)
		}
	}
	pprof.StopCPUProfile()
	f.Close()
}
