package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"agateward/internal/config/strict"
	"agateward/internal/result/code"
	"agateward/ward"
)

// MinKeyLength is the minimum length of a shared key, in bytes.
const MinKeyLength = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects the faults of decoded values.
type checker struct {
	doc    *strict.Document
	faults []strict.Fault
}

func (c *checker) add(key, format string, args ...any) {
	c.faults = append(c.faults, c.doc.Fault(key, format, args...))
}

// check returns the faults of all values.
func check(doc *strict.Document, s *Settings) []strict.Fault {
	c := &checker{doc: doc}
	c.checkName("name", s.Name)
	c.checkName("fleet", s.Fleet)
	c.checkName("data-centre", s.DataCentre)
	c.checkAddress("callers.address", s.Callers.Address)
	c.checkAddress("operators.address", s.Operators.Address)
	c.checkAddress("peers.address", s.Peers.Address)
	c.checkAddress("platform.address", s.Platform.Address)
	for i, a := range s.Peers.Seeds {
		c.checkAddress(fmt.Sprintf("peers.seeds[%d]", i), a)
	}
	c.checkDistinct(s)
	c.checkKey("operators.key", s.Operators.Key, s.Operators.KeyFile)
	c.checkKey("peers.key", s.Peers.Key, s.Peers.KeyFile)
	c.checkWebhook("operators.webhook", s.Operators.Webhook)
	c.checkTelemetry(&s.Telemetry)
	c.checkNumbers(s)
	c.checkDurations(s)
	c.checkDistances(s.Distances)
	return c.faults
}

func (c *checker) checkName(key, v string) {
	if !namePattern.MatchString(v) {
		c.add(key, "%q: use 1 to 63 lower-case letters, digits and hyphens", v)
	}
}

func (c *checker) checkAddress(key, v string) {
	if v == "" {
		c.add(key, "is missing; give an IP number and port, such as 10.0.0.4:8080")
		return
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.add(key, "%q: use an IP number and port, such as 10.0.0.4:8080; host names are refused", v)
		return
	}
	if a.Port() == 0 {
		c.add(key, "%q: the port is from 1 to 65535", v)
	}
}

// checkDistinct checks that no two listeners have the same address.
func (c *checker) checkDistinct(s *Settings) {
	if s.Operators.Address != "" && s.Operators.Address == s.Callers.Address {
		c.add("operators.address", "is the same as callers.address; each listener needs its own address")
	}
	if s.Peers.Address != "" && (s.Peers.Address == s.Callers.Address || s.Peers.Address == s.Operators.Address) {
		c.add("peers.address", "is the same as another listener's address")
	}
}

func (c *checker) checkKey(key, v, file string) {
	if v != "" && file != "" {
		c.add(key, "is given with %s-file; give one of them", key)
		return
	}
	if file == "" && len(v) < MinKeyLength {
		c.add(key, "give a shared key of %d bytes or more, or %s-file", MinKeyLength, key)
	}
}

func (c *checker) checkWebhook(key, v string) {
	if v == "" {
		return
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(key, "%q: use an http or https URL", v)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(key, "%q: the host is an IP number; host names are refused", v)
	}
}

func (c *checker) checkTelemetry(t *Telemetry) {
	switch t.LogLevel {
	case "error", "info", "debug":
	default:
		c.add("telemetry.log-level", "%q: allowed are error, info and debug", t.LogLevel)
	}
	if t.TraceEndpoint != "" {
		c.checkAddress("telemetry.trace-endpoint", t.TraceEndpoint)
	}
	if t.TraceShare < 0 || t.TraceShare > 1 {
		c.add("telemetry.trace-share", "%g: allowed is 0 to 1", t.TraceShare)
	}
}

// intRange is a number and its allowed range.
type intRange struct {
	key       string
	value     int
	low, high int
}

func (c *checker) checkNumbers(s *Settings) {
	const (
		kilobyte = 1 << 10
		megabyte = 1 << 20
	)
	for _, b := range []intRange{
		{"callers.max-body", s.Callers.MaxBody, kilobyte, 64 * megabyte},
		{"callers.max-header", s.Callers.MaxHeader, kilobyte, megabyte},
		{"callers.max-connections", s.Callers.MaxConnections, 1, 1_000_000},
		{"peers.max-bytes-per-second", s.Peers.MaxBytesPerSecond, 4 * kilobyte, megabyte},
		{"requests.max-waiting", s.Requests.MaxWaiting, 1, 1_000_000},
		{"requests.max-answer", s.Requests.MaxAnswer, kilobyte, 256 * megabyte},
		{"records.shards", s.Records.Shards, 1, 256},
		{"records.max-answer", s.Records.MaxAnswer, 0, 64 * kilobyte},
		{"telemetry.explain", s.Telemetry.Explain, 0, 1_000_000},
	} {
		if b.value < b.low || b.value > b.high {
			c.add(b.key, "%d: allowed is %d to %d", b.value, b.low, b.high)
		}
	}
}

// durationRange is a duration and its allowed range.
type durationRange struct {
	key       string
	value     ward.Duration
	low, high time.Duration
}

func (c *checker) checkDurations(s *Settings) {
	for _, b := range []durationRange{
		{"callers.read-timeout", s.Callers.ReadTimeout, 100 * time.Millisecond, 10 * time.Minute},
		{"callers.write-timeout", s.Callers.WriteTimeout, 100 * time.Millisecond, 10 * time.Minute},
		{"callers.idle-timeout", s.Callers.IdleTimeout, time.Second, time.Hour},
		{"peers.interval", s.Peers.Interval, 20 * time.Millisecond, 2 * time.Second},
		{"platform.timeout", s.Platform.Timeout, 10 * time.Millisecond, 30 * time.Second},
		{"requests.default-deadline", s.Requests.DefaultDeadline, time.Millisecond, 24 * time.Hour},
		{"requests.max-deadline", s.Requests.MaxDeadline, time.Millisecond, 24 * time.Hour},
		{"requests.connect-timeout", s.Requests.ConnectTimeout, time.Millisecond, 30 * time.Second},
		{"requests.chunk-timeout", s.Requests.ChunkTimeout, 100 * time.Millisecond, 10 * time.Minute},
		{"requests.report-interval", s.Requests.ReportInterval, 50 * time.Millisecond, time.Minute},
		{"records.keep", s.Records.Keep, time.Minute, 30 * 24 * time.Hour},
		{"stop.balancer-lag", s.Stop.BalancerLag, 0, 5 * time.Minute},
		{"stop.grace", s.Stop.Grace, time.Millisecond, time.Hour},
	} {
		if b.value.Std() < b.low || b.value.Std() > b.high {
			c.add(b.key, "%s: allowed is %s to %s", b.value, b.low, b.high)
		}
	}
	if s.Stop.Grace < s.Stop.BalancerLag {
		c.add("stop.grace", "%s: is at least stop.balancer-lag (%s)", s.Stop.Grace, s.Stop.BalancerLag)
	}
	if s.Requests.DefaultDeadline > s.Requests.MaxDeadline {
		c.add("requests.default-deadline", "%s: is at most requests.max-deadline (%s)", s.Requests.DefaultDeadline, s.Requests.MaxDeadline)
	}
}

func (c *checker) checkDistances(list []Distance) {
	for i, d := range list {
		key := fmt.Sprintf("distances[%d]", i)
		c.checkName(key+".data-centre", d.DataCentre)
		if d.RoundTrip < 0 || d.RoundTrip.Std() > time.Second {
			c.add(key+".round-trip", "%s: allowed is 0s to 1s", d.RoundTrip)
		}
	}
}

// readKey reads a shared key from file into key; without a file it does
// nothing.
func readKey(file string, key *string) error {
	if file == "" {
		return nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return code.SettingsInvalid.Wrap(err, "read key file")
	}
	*key = string(bytes.TrimSpace(b))
	if len(*key) < MinKeyLength {
		return code.SettingsInvalid.New("%s: the key is shorter than %d bytes", file, MinKeyLength)
	}
	return nil
}
