package node

import (
	"slices"
	"testing"
	"time"

	"agateward/internal/config/forwarding"
	"agateward/internal/forward/dialect"
	"agateward/internal/forward/static"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// TestAdjust reads settings again: some take effect at once, and the keys of the
// others are returned.
func TestAdjust(t *testing.T) {
	s := forwarding.Default()
	s.Name, s.DataCentre, s.Store = "entry-1", "dc-1", "127.0.0.1:1"
	n := New(s, Parts{Source: (&static.Source{}).Feed(), Dialect: dialect.Native{}, Log: logr.Discard()})
	fresh := s
	fresh.Retries.Slack, fresh.Quotas.Slack = 7, 50
	fresh.Stop.Grace = ward.Duration(3 * time.Second)
	if got := n.Adjust(fresh); len(got) > 0 {
		t.Errorf("needs a restart for %v", got)
	}
	if n.settings.Stop.Grace != fresh.Stop.Grace || n.settings.Retries != fresh.Retries {
		t.Errorf("settings %+v", n.settings)
	}
	fresh.Store, fresh.PeerStatePort = "127.0.0.1:2", 7000
	if got, want := n.Adjust(fresh), []string{"store", "news-port"}; !slices.Equal(got, want) {
		t.Errorf("needs a restart for %v, want %v", got, want)
	}
}
