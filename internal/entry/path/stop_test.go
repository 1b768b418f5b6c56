package path

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/entry/relay"
	"agateward/internal/platform/memory"
	"agateward/internal/result/code"
	"agateward/ward"
)

// TestRequestsAfterTheLastAreRefused guards against a panic, and a connection closed without an
// answer, for a request that arrives once a stopping entry has no open request.
func TestRequestsAfterTheLastAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &ward.Config{Revision: 1, Routes: []ward.Route{{Name: "menus", Kind: ward.KindEngine, Serves: "writer", Version: "v1"}}}
		p := newPath(t, &memory.Platform{}, &relay.Relay{Engine: &dyingEngine{}}, cfg)
		if err := p.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		for i := range 2 {
			_, err := p.Open(t.Context(), &ward.Request{
				ID: fmt.Sprint(i), Team: "guests", Tier: ward.TierTop, Route: "menus", Kind: ward.KindEngine, Serves: "writer",
				Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
			})
			if !code.Stopping.Is(err) {
				t.Errorf("request %d: %v, want %s", i, err, code.Stopping)
			}
		}
	})
}
