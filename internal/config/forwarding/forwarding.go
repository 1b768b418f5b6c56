// Package forwarding provides the settings of one entry of the forwarding
// surface.
//
// # Usage
//
//	s, err := forwarding.Load("entry.jsonc")
//
// The file is JSON with comments. All faults of a file are reported together.
// Default holds the defaults.
package forwarding

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"agateward/internal/config/settings"
	"agateward/internal/config/strict"
	"agateward/internal/move/exposure"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Settings are the settings of one entry.
type Settings struct {
	// Name is the entry's name, unique in the fleet.
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Listen     Listen `json:"listen"`
	// Store is the address of the platform's metadata store.
	Store string `json:"store"`
	// Seeds are the state addresses of other entries, used when the store is
	// unavailable.
	Seeds []string `json:"seeds"`
	// PeerStatePort is the port on which every entry receives the state of its
	// peers.
	PeerStatePort int  `json:"news-port"`
	Stop          Stop `json:"stop"`
	// Retries bounds the retries to a service over all entries.
	Retries Retries `json:"retries"`
	Quotas  Quotas  `json:"quotas"`
	// Rollouts bounds what roll-outs to an unproven version may cost.
	Rollouts Rollouts `json:"roll-outs"`
	Limits   Limits   `json:"limits"`
	// Scheduling turns on parts of the scheduler.
	Scheduling Scheduling `json:"scheduling"`
	// Regions holds the region of each data centre. A data centre that is not listed is a
	// region of its own.
	Regions map[string]string `json:"regions"`
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool `json:"first-start"`
	// LogLevel is "error", "info" or "debug".
	LogLevel string `json:"log-level"`
}

// Listen holds the addresses that the entry serves.
type Listen struct {
	// Callers serves requests, Ready the health checks of the balancer, State the
	// configuration and replicas for peers, and Metrics the metrics. An empty
	// Metrics serves none.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	State   string `json:"state"`
	Metrics string `json:"metrics"`
}

// Stop are the settings of a planned stop.
type Stop struct {
	// Grace is the time from the stop signal to the end of the process.
	Grace ward.Duration `json:"grace"`
}

// Retries are the settings of the retry budget.
type Retries struct {
	// Ratio is the number of retries allowed for each request, and Slack a fixed
	// number of retries in addition, both within Window and over all entries.
	Ratio  float64       `json:"ratio"`
	Slack  float64       `json:"slack"`
	Window ward.Duration `json:"window"`
}

// Quotas are the settings of the teams' quotas.
type Quotas struct {
	// Slack is the number of units, over all entries, that teams may use beyond
	// their quotas.
	Slack float64 `json:"slack"`
}

// Rollouts are the settings of roll-outs. A change takes effect at the next start.
type Rollouts struct {
	// ExposeShare is the fraction of a service's requests that a version may get before its
	// outcomes speak for it, and ExposeRequests a number of requests in addition, both
	// from the order to its time limit and over all entries.
	ExposeShare    float64 `json:"expose-share"`
	ExposeRequests float64 `json:"expose-requests"`
}

// Scheduling turns on parts of the scheduler; all are off by default. A change takes effect
// at the next start.
type Scheduling struct {
	// FairTeams divides the upstreams of a service between the teams of a rank.
	FairTeams bool `json:"fair-teams"`
	// PreferReturns serves callers that come back at the time that a refusal named before
	// others of their rank.
	PreferReturns bool `json:"prefer-returns"`
	// LendSlots lets entries of different cells lend each other slots of upstreams.
	LendSlots bool `json:"lend-slots"`
	// ProtectStreams keeps long prompts from engines where they would interrupt streams for
	// longer than the callers' routes accept.
	ProtectStreams bool `json:"protect-streams"`
	// LearnConcurrency learns how many requests each upstream takes well.
	LearnConcurrency bool `json:"learn-concurrency"`
	// FixedConcurrency lists the services to which LearnConcurrency does not apply.
	FixedConcurrency []string `json:"fixed-concurrency"`
}

// Limits bound the resources of the process.
type Limits struct {
	// Memory is the process's limit in megabytes; 0 means none.
	Memory int `json:"memory"`
	// MaxBody bounds a request's body in bytes as long as no configuration sets
	// another limit.
	MaxBody int `json:"max-body"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		PeerStatePort: 7600,
		Stop:          Stop{Grace: ward.Duration(8 * time.Second)},
		Retries:       Retries{Ratio: 0.1, Slack: 20, Window: ward.Duration(10 * time.Second)},
		Rollouts:      Rollouts{ExposeShare: exposure.DefaultShare, ExposeRequests: exposure.DefaultRequests},
		Limits:        Limits{MaxBody: 4 << 20},
		LogLevel:      "info",
	}
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, code.SettingsInvalid.Wrap(err, "read the settings")
	}
	return Parse(file, b)
}

// Parse decodes and checks the settings in b. The error lists all faults.
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
	faultIf := func(bad bool, key, format string, args ...any) {
		if bad {
			faults = append(faults, doc.Fault(key, format, args...))
		}
	}
	faultIf(s.Name == "", "name", "is missing")
	faultIf(s.DataCentre == "", "data-centre", "is missing")
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
		faultIf(err != nil, a.key, "%q is not an IP number and port", a.value)
	}
	faultIf(s.PeerStatePort < 1 || s.PeerStatePort > 65535, "news-port", "%d: allowed is 1 to 65535", s.PeerStatePort)
	faultIf(s.Stop.Grace <= 0, "stop.grace", "must be greater than 0")
	faultIf(s.Retries.Ratio < 0 || s.Retries.Slack < 0, "retries", "ratio and slack must be 0 or more")
	faultIf(s.Quotas.Slack < 0, "quotas.slack", "must be 0 or more")
	faultIf(!(s.Rollouts.ExposeShare > 0 && s.Rollouts.ExposeShare <= 1), "roll-outs.expose-share", "%v: must be greater than 0 and at most 1", s.Rollouts.ExposeShare)
	faultIf(!(s.Rollouts.ExposeRequests >= 0), "roll-outs.expose-requests", "%v: must be 0 or more", s.Rollouts.ExposeRequests)
	faultIf(s.Retries.Window <= 0, "retries.window", "must be greater than 0")
	for name, region := range s.Regions {
		faultIf(name == "" || region == "", "regions", "data centre %q has region %q; both must be given", name, region)
	}
	s.Scheduling.check(faultIf)
	faultIf(s.Limits.Memory < 0 || s.Limits.MaxBody <= 0, "limits", "memory must be 0 or more, and max-body greater than 0")
	faultIf(s.LogLevel != "error" && s.LogLevel != "info" && s.LogLevel != "debug", "log-level", "%q: allowed are error, info and debug", s.LogLevel)
	return faults
}

// Equal reports whether s and o turn on the same.
func (s Scheduling) Equal(o Scheduling) bool {
	return s.FairTeams == o.FairTeams && s.PreferReturns == o.PreferReturns && s.LendSlots == o.LendSlots &&
		s.LearnConcurrency == o.LearnConcurrency && slices.Equal(s.FixedConcurrency, o.FixedConcurrency)
}

func (s Scheduling) check(faultIf func(bad bool, key, format string, args ...any)) {
	const key = "scheduling.fixed-concurrency"
	faultIf(len(s.FixedConcurrency) > 0 && !s.LearnConcurrency, key, "has no effect without learn-concurrency")
	for i, name := range s.FixedConcurrency {
		faultIf(name == "", key, "has an empty name of a service")
		faultIf(slices.Contains(s.FixedConcurrency[:i], name), key, "names service %q twice", name)
	}
}
