package node

import (
	"maps"
	"slices"

	"agateward/internal/config/forwarding"
)

// Adjust applies settings that were read again. Those of retries, quotas, bodies
// and the stop take effect at once. It returns the keys of the other settings that
// differ, which need a restart.
func (n *Node) Adjust(s forwarding.Settings) (needRestart []string) {
	n.mu.Lock()
	old := n.settings
	n.settings.Retries, n.settings.Quotas, n.settings.Stop = s.Retries, s.Quotas, s.Stop
	n.settings.Limits.MaxBody = s.Limits.MaxBody
	n.mu.Unlock()
	n.gate.Adjust(setup(s), s.Limits.MaxBody)
	differ := []struct {
		key     string
		changed bool
	}{
		{"name", old.Name != s.Name}, {"data-centre", old.DataCentre != s.DataCentre}, {"listen", old.Listen != s.Listen},
		{"store", old.Store != s.Store}, {"seeds", !slices.Equal(old.Seeds, s.Seeds)}, {"news-port", old.PeerStatePort != s.PeerStatePort},
		{"limits.memory", old.Limits.Memory != s.Limits.Memory}, {"log-level", old.LogLevel != s.LogLevel},
		{"scheduling", !old.Scheduling.Equal(s.Scheduling)}, {"regions", !maps.Equal(old.Regions, s.Regions)},
	}
	for _, d := range differ {
		if d.changed {
			needRestart = append(needRestart, d.key)
		}
	}
	return needRestart
}
