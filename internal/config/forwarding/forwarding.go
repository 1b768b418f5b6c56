// Package forwarding provides the settings of one entry of the forwarding
// surface.
//
// # Usage
//
//	s, err := forwarding.Load("entry.jsonc")
//
// The file is JSON with comments. All its faults are named at once. Defaults are
// in Default alone.
package forwarding

import (
	"net/netip"
	"os"
	"time"

	"agateward/internal/config/settings"
	"agateward/internal/config/strict"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Settings are the settings of one entry.
type Settings struct {
	// Name is unique in the fleet.
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Listen     Listen `json:"listen"`
	// Store is the address of the platform's metadata store.
	Store string `json:"store"`
	// Seeds are the state addresses of other entries, asked when the store is out.
	Seeds []string `json:"seeds"`
	// PeerStatePort is the port at which each entry hears its peers.
	PeerStatePort int  `json:"news-port"`
	Stop          Stop `json:"stop"`
	// Retries bounds repeated sends to a service over all entries.
	Retries Retries `json:"retries"`
	Quotas  Quotas  `json:"quotas"`
	Limits  Limits  `json:"limits"`
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool `json:"first-start"`
	// LogLevel is "error", "info" or "debug".
	LogLevel string `json:"log-level"`
}

// Listen holds the addresses that the entry serves.
type Listen struct {
	// Callers take requests, Ready answers the balancer, State hands documents to
	// peers, Metrics shows counters.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	State   string `json:"state"`
	Metrics string `json:"metrics"`
}

// Stop are the times of a planned stop.
type Stop struct {
	// Grace is the time from the signal to the end of the process.
	Grace ward.Duration `json:"grace"`
}

// Retries is the allowance of repeated sends.
type Retries struct {
	// Ratio is the number of repeats for each request, Slack a fixed number, both
	// over Window and all entries.
	Ratio  float64       `json:"ratio"`
	Slack  float64       `json:"slack"`
	Window ward.Duration `json:"window"`
}

// Quotas is what teams may use beyond their quotas.
type Quotas struct {
	// Slack is a number of units over all entries.
	Slack float64 `json:"slack"`
}

// Limits bound what the process uses.
type Limits struct {
	// Memory is the process's limit in megabytes; 0 means none.
	Memory int `json:"memory"`
	// MaxBody bounds a request's body in bytes while no configuration says more.
	MaxBody int `json:"max-body"`
}

// Default returns the settings that a file need not name.
func Default() Settings {
	return Settings{
		PeerStatePort: 7600,
		Stop:          Stop{Grace: ward.Duration(8 * time.Second)},
		Retries:       Retries{Ratio: 0.1, Slack: 20, Window: ward.Duration(10 * time.Second)},
		Limits:        Limits{MaxBody: 4 << 20},
		LogLevel:      "info",
	}
}

// Load reads and checks a file.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, code.SettingsInvalid.Wrap(err, "read the settings")
	}
	return Parse(file, b)
}

// Parse checks the content of a file.
func Parse(file string, b []byte) (Settings, error) {
	s := Default()
	doc, faults := strict.Decode(file, b, &s)
	if len(faults) == 0 {
		faults = s.check(doc)
	}
	if len(faults) > 0 {
		return Settings{}, settings.Error(faults)
	}
	return s, nil
}

func (s Settings) check(doc *strict.Document) []strict.Fault {
	var faults []strict.Fault
	fault := func(bad bool, key, format string, args ...any) {
		if bad {
			faults = append(faults, doc.Fault(key, format, args...))
		}
	}
	fault(s.Name == "", "name", "is missing")
	fault(s.DataCentre == "", "data-centre", "is missing")
	addresses := []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.state", s.Listen.State}, {"store", s.Store},
	}
	for _, seed := range s.Seeds {
		addresses = append(addresses, struct{ key, value string }{"seeds", seed})
	}
	if s.Listen.Metrics != "" {
		addresses = append(addresses, struct{ key, value string }{"listen.metrics", s.Listen.Metrics})
	}
	for _, a := range addresses {
		_, err := netip.ParseAddrPort(a.value)
		fault(err != nil, a.key, "%q is not an IP number and port", a.value)
	}
	fault(s.PeerStatePort < 1 || s.PeerStatePort > 65535, "news-port", "%d is not a port", s.PeerStatePort)
	fault(s.Stop.Grace <= 0, "stop.grace", "is not above 0")
	fault(s.Retries.Ratio < 0 || s.Retries.Slack < 0, "retries", "ratio and slack are 0 or more")
	fault(s.Quotas.Slack < 0, "quotas.slack", "is below 0")
	fault(s.Retries.Window <= 0, "retries.window", "is not above 0")
	fault(s.Limits.Memory < 0 || s.Limits.MaxBody <= 0, "limits", "memory is 0 or more, max-body above 0")
	fault(s.LogLevel != "error" && s.LogLevel != "info" && s.LogLevel != "debug", "log-level", "%q: allowed are error, info and debug", s.LogLevel)
	return faults
}
