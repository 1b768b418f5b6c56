package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"agateward/internal/bench/fit"
	"agateward/internal/bench/usage"
	"agateward/internal/standin/batch"
	standin "agateward/internal/standin/engine"
	"agateward/internal/upstream/engine"
	"agateward/ward"
)

const (
	// readInterval is the interval, in seconds, at which an entry reads the report of
	// a replica that it uses. For other replicas it is otherReadFactor times as
	// long, and grows in proportion to the entries beyond entriesPerInterval.
	readInterval       = 1.0
	otherReadFactor    = 4.0
	entriesPerInterval = 8.0
	// eventsPerRequest is the number of cache blocks that a replica stores or evicts
	// per request.
	eventsPerRequest = 4
	// readRounds is the number of reads over which a cost is averaged.
	readRounds = 200
)

// eventSizes are the measured numbers of cache events in one read.
var eventSizes = []int{0, 50, 200, 800}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// reading is the cost of reading one replica's report and cache events.
type reading struct {
	micros float64
	bytes  float64
}

// reports measures reading load reports and cache events.
func (c *Capacity) reports(ctx context.Context) error {
	costs := make(map[int]reading)
	for _, n := range eventSizes {
		r, err := readOne(ctx, n)
		if err != nil {
			return err
		}
		costs[n] = r
	}
	const role = "upstream reports"
	const axis = "cache events in one read"
	feeds := Figure{Role: role, Name: "replicas that an entry feeds", Unit: "count", Axis: "replicas by entries", Size: float64(Replicas) / Nodes}
	for _, n := range entrySizes {
		feeds.Points = append(feeds.Points, fit.Point{Size: float64(Replicas) / float64(n), Cost: upstreamsUsed(n)})
	}
	c.Figures = append(c.Figures, feeds)
	fed := feeds.Value()
	others := (Replicas - fed) / (readInterval * otherReadFactor * Nodes / entriesPerInterval)
	own := fed / readInterval
	events := float64(Requests) * eventsPerRequest / Replicas * readInterval
	cpu := Figure{Role: role, Name: "reading one replica, both ends", Unit: "µs", Axis: axis}
	bytes := Figure{Role: role, Name: "bytes on the wire of one read", Unit: "B", Axis: axis}
	c.figure(cpu, eventSizes, func(n int) float64 { return costs[n].micros })
	c.figure(bytes, eventSizes, func(n int) float64 { return costs[n].bytes })
	cpu, bytes = c.Figures[len(c.Figures)-2], c.Figures[len(c.Figures)-1]
	second := float64(time.Second / time.Microsecond)
	c.Roles = append(c.Roles, Role{
		Name:      "upstream reports: load",
		State:     "the last report of each replica",
		Messages:  fmt.Sprintf("%.1f reads a second of the %.1f replicas that it feeds, %.1f of the others", own, fed, others),
		Mechanism: "the replicas that an entry feeds are read each second, the others less often the more entries there are",
		Control:   true,
		CPU:       cpu.Line().At(0) * (own + others) / second,
		Bytes:     bytes.Line().At(0) * (own + others),
	}, Role{
		Name:      "upstream reports: cache events",
		State:     "the prefix blocks of the replicas that it feeds",
		Messages:  fmt.Sprintf("%.0f events in one read, at %d events a request", events, eventsPerRequest),
		Mechanism: "an entry reads the events of the replicas that it feeds",
		Control:   true,
		CPU:       cpu.Line().Slope * events * own / second,
		Bytes:     bytes.Line().Slope * events * own,
	})
	return nil
}

// upstreamsUsed returns the number of replicas of which one entry has a share, in a fleet of
// that many entries.
func upstreamsUsed(entries int) float64 {
	d := newDriver(Replicas, Teams)
	d.s.SetPeers(d.now, peers(entries, Replicas))
	n := 0
	for _, u := range d.s.State().Upstreams {
		if u.Share > 0 {
			n++
		}
	}
	return float64(n)
}

// readOne measures reading the report and the given number of cache events of one
// replica.
func readOne(ctx context.Context, events int) (reading, error) {
	s := &standin.Server{Profile: batch.Profile{Name: "engine-0001", ReportLag: time.Nanosecond, CacheLag: time.Nanosecond, CacheGap: -1}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return reading{}, err
	}
	counted := &countingListener{Listener: ln}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(counted) }()
	defer func() { _ = server.Close() }()
	if err := importBlocks(ctx, ln.Addr().String(), events); err != nil {
		return reading{}, err
	}
	var client engine.Engine
	u := ward.Upstream{Name: "engine-0001", Address: ln.Addr().String()}
	read := func() error {
		if _, err := client.Report(ctx, u); err != nil {
			return err
		}
		got, err := client.CacheEvents(ctx, u, 0)
		if err == nil && len(got) != events {
			err = fmt.Errorf("read %d cache events, want %d", len(got), events)
		}
		return err
	}
	if err := read(); err != nil {
		return reading{}, err
	}
	counted.bytes.Store(0)
	before := usage.Read().CPU
	for range readRounds {
		if err := read(); err != nil {
			return reading{}, err
		}
	}
	spent := usage.Read().CPU - before
	return reading{
		micros: float64(spent) / float64(time.Microsecond) / readRounds,
		bytes:  float64(counted.bytes.Load()) / readRounds,
	}, nil
}
