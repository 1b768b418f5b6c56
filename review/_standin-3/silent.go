package main

import (
	"sync"
	"time"
)

// Bounds of the deployment tafel-prod.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	configTime  = 2 * time.Second
)

const (
	host    = "ficu95.example"
	keyA    = "i9n73hh2b9wu3fexd9dn"
	keyB    = "n2ctnfzs989anu6wsjnb"
	booking = "/puxa403/"
)

func configuration(version int, keys ...string) any {
	return map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{"Name": "r-book", "Host": host, "Prefix": booking, "Kind": "unsafe", "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 2, "Service": "bookings", "MaxAttempts": 2, "Public": false},
		},
		"Services": []any{map[string]any{"Name": "bookings", "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "hule930", "ApiKeys": keys, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 164834, "Burst": 164834}},
	}
}

// silentStoreDrain lets all open connections to the store fall silent, and a replica leave
// that never reports that it drains.
func silentStoreDrain(rec *record, trouble bool) bool {
	replicas := make([]*replica, 3)
	f := newFleet(rec, 3, func(s *store) {
		for i := range replicas {
			id := []string{"i-7f3a91c2", "i-02d9e6b4", "i-40f425ee"}[i]
			replicas[i] = newReplica(rec, id, "bookings", zones[i], "v1", "127.0.0.1", 250*time.Millisecond)
			s.put("servers/"+id, replicas[i].entry("ready"))
		}
		s.put("op/config", configuration(7, keyA))
	})
	defer f.close()
	conns := make([][]*conn, len(f.entries))
	connect := func() {
		for i, e := range f.entries {
			conns[i] = nil
			for range 6 {
				conns[i] = append(conns[i], dial(e.callers))
			}
		}
	}
	connect()
	post := func(i, k int) answer {
		return conns[i][k].do(rec, f.entries[i], "POST", host, booking+"2f", keyA, time.Second, "seat")
	}
	for range 6 {
		for i := range f.entries {
			post(i, 0)
		}
	}
	time.Sleep(time.Second)
	// A release: the new replica starts first, then the old one leaves.
	fresh := newReplica(rec, "i-0bd818ce", "bookings", zones[1], "v1", "127.0.0.1", 250*time.Millisecond)
	f.store.put("servers/"+fresh.id, fresh.entry("ready"))
	time.Sleep(200 * time.Millisecond)
	silent := time.Now()
	if trouble {
		rec.line("network: %d open connections to the store fall silent; new ones work", f.proxy.silence())
	}
	time.Sleep(400 * time.Millisecond)
	gone := replicas[1]
	gone.leaving.Store(true)
	left := f.store.remove("servers/" + gone.id)
	exit := time.AfterFunc(drainTime+950*time.Millisecond, gone.exit)
	defer exit.Stop()
	time.Sleep(time.Until(silent.Add(contactTime + 150*time.Millisecond)))
	connect()
	rec.line("all machines are in touch again; the replica left %.0f ms ago", time.Since(left).Seconds()*1000)
	var wg sync.WaitGroup
	answers := make(chan answer, 100)
	for i := range f.entries {
		for k := range 6 {
			wg.Go(func() { answers <- post(i, k) })
		}
	}
	wg.Wait()
	close(answers)
	time.Sleep(300 * time.Millisecond)
	sent := map[string]answer{}
	for a := range answers {
		sent[a.id] = a
	}
	return judgeDrain(rec, f, gone, left, sent)
}

// judgeDrain reports whether requests have reached a replica later than drainTime after it left.
func judgeDrain(rec *record, f *fleet, gone *replica, left time.Time, sent map[string]answer) bool {
	late, lost := 0, 0
	for _, n := range gone.all() {
		a, ok := sent[n.id]
		if !ok || n.arrived.Before(left.Add(drainTime)) {
			continue
		}
		late++
		if a.status != 200 {
			lost++
		}
		rec.line("DRAIN: %s reached %s %.0f ms after the store acknowledged that it is gone, sent by %s; its run: %s; its client: %s",
			n.id, n.replica, n.arrived.Sub(left).Seconds()*1000, a.entry, n.ended, a.text())
	}
	for _, e := range f.entries {
		for _, l := range e.logLines("store-lost", "store-regained", "upstreams-changed", "upstreams-lapsed", "upstream-leaving") {
			rec.line("log of %s: %s", e.name, l)
		}
	}
	rec.line("%d of %d requests reached the replica later than DrainMs after it was gone; %d of them got no answer of it", late, len(sent), lost)
	return late > 0
}
