// Package fleet runs a whole fleet in one process over loopback TCP: a stand-in
// platform, entries, stand-in engines and services. The demo and the measurements
// of real entries use it.
//
// # Usage
//
//	f, err := fleet.Start(ctx, fleet.Plan{Name: "demo", Entries: 3, DataCentres: []string{"east-1", "east-2"}})
//	defer f.Close()
//	f.AddEngine("engine-1", &engine.Server{Model: "writer", Profile: batch.Profile{Version: "v1"}})
//	result, err := f.Submit(ctx, ticket)
//	f.Kill(1)
//	err = f.Restart(ctx, 1)
//
// All listeners use free ports of the loopback interface.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"agateward/internal/config/settings"
	"agateward/internal/entry/program"
	"agateward/internal/operator/client"
	"agateward/internal/platform/memory"
	"agateward/internal/platform/server"
	"agateward/internal/result/code"
	"agateward/internal/standin/engine"
	"agateward/internal/standin/service"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// Shared keys of the fleet, used only within the process.
const (
	operatorKey = "fleet-operators-key-in-process"
	peerKey     = "fleet-peers-key-in-process-only"
)

const (
	anyPort = "127.0.0.1:0"
	// pollInterval is the interval at which a condition is polled.
	pollInterval = 20 * time.Millisecond
	// readyTimeout bounds the wait for entries, and reading the headers of a request.
	readyTimeout = 10 * time.Second
)

// Plan is the composition of a fleet.
type Plan struct {
	Name    string
	Entries int
	// DataCentres are assigned to the entries in turn.
	DataCentres []string
	// Tune changes the settings of each entry. It may be nil.
	Tune func(s *settings.Settings)
	Log  logr.Logger
}

// Fleet is a running fleet. It is safe for concurrent use.
type Fleet struct {
	Platform *memory.Platform
	plan     Plan
	address  string

	mu      sync.Mutex
	servers []*http.Server
	entries []*entry
}

// entry is an entry that can be killed and restarted.
type entry struct {
	settings settings.Settings
	program  *program.Program
	stop     context.CancelFunc
	done     chan struct{}
}

// Start starts the platform and the entries.
func Start(ctx context.Context, p Plan) (*Fleet, error) {
	f := &Fleet{Platform: &memory.Platform{}, plan: p}
	address, err := f.Serve(server.New(f.Platform))
	if err != nil {
		return nil, err
	}
	f.address = address
	for i := range p.Entries {
		e := &entry{settings: f.settings(i)}
		f.entries = append(f.entries, e)
		if err := f.start(ctx, e); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// settings returns the settings of the entry with index i.
func (f *Fleet) settings(i int) settings.Settings {
	s := settings.Default()
	s.Name = fmt.Sprintf("entry-%d", i+1)
	s.Fleet = f.plan.Name
	s.DataCentre = f.plan.DataCentres[i%len(f.plan.DataCentres)]
	s.Callers.Address = anyPort
	s.Operators.Address = anyPort
	s.Operators.Key = operatorKey
	s.Peers.Address = anyPort
	s.Peers.Key = peerKey
	s.Platform.Address = f.address
	s.Stop.BalancerLag = ward.Duration(500 * time.Millisecond)
	if f.plan.Tune != nil {
		f.plan.Tune(&s)
	}
	return s
}

// start runs an entry and adds it to the platform's list of instances.
func (f *Fleet) start(ctx context.Context, e *entry) error {
	p, err := program.New(ctx, e.settings, program.Options{Log: f.plan.Log})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.program = p
	e.stop = cancel
	ended := make(chan struct{})
	e.done = ended
	go func() {
		defer close(ended)
		if err := p.Run(ctx); err != nil {
			f.plan.Log.Error(err, "fleet-entry-failed", "entry", e.settings.Name)
		}
	}()
	f.Platform.PutInstances(ward.Instance{
		Name: e.settings.Name, Role: ward.RoleEntry, Address: p.PeersAddress(),
		DataCentre: e.settings.DataCentre, State: ward.InstanceLive,
	})
	return nil
}

// Serve serves a handler on a free port and returns the address.
func (f *Fleet) Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", code.ListenFailed.Wrap(err, "listen on %s", anyPort)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// AddEngine serves an engine and returns its address.
func (f *Fleet) AddEngine(name string, s *engine.Server) (string, error) {
	s.Profile.Name = name
	return f.add(name, s)
}

// AddService serves a service and returns its address.
func (f *Fleet) AddService(name string, s *service.Server) (string, error) {
	s.Name = name
	return f.add(name, s)
}

func (f *Fleet) add(name string, h http.Handler) (string, error) {
	address, err := f.Serve(h)
	if err != nil {
		return "", err
	}
	f.Platform.PutInstances(ward.Instance{
		Name: name, Role: ward.RoleUpstream, Address: address, State: ward.InstanceLive,
	})
	return address, nil
}

// Operator returns a client for the operator surface of an entry.
func (f *Fleet) Operator(i int) *client.Client {
	return client.New(f.program(i).OperatorsAddress(), operatorKey)
}

// Submit submits a ticket through the first entry that answers.
func (f *Fleet) Submit(ctx context.Context, t ward.Ticket) (acceptance.Result, error) {
	var r acceptance.Result
	body, err := json.Marshal(t)
	if err != nil {
		return r, err
	}
	for i := range f.entries {
		err = f.Operator(i).Post(ctx, "/tickets", body, &r)
		if !code.EntryDown.Is(err) && !code.AcceptanceUnknown.Is(err) {
			return r, err
		}
	}
	return r, err
}

// Target returns the base URL of an entry for callers.
func (f *Fleet) Target(i int) string { return "http://" + f.program(i).CallersAddress() }

// Targets returns the base URLs of all entries.
func (f *Fleet) Targets() []string {
	targets := make([]string, len(f.entries))
	for i := range f.entries {
		targets[i] = f.Target(i)
	}
	return targets
}

// program returns the current program of the entry with index i.
func (f *Fleet) program(i int) *program.Program {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[i].program
}

// AwaitRevision waits until every entry has the revision or a later one in force.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range f.entries {
		for f.program(i).Revision() < revision {
			if err := (ward.SystemClock{}).Sleep(ctx, pollInterval); err != nil {
				return code.NotReady.New("entry %d is not at revision %d", i+1, revision)
			}
		}
	}
	return nil
}

// Kill ends an entry at once, as a crash of its process would.
func (f *Fleet) Kill(i int) {
	e := f.entries[i]
	e.program.Kill()
	<-e.done
	e.stop()
	f.Platform.RemoveInstance(e.settings.Name)
}

// Stop stops an entry gracefully and returns when it has ended.
func (f *Fleet) Stop(i int) {
	e := f.entries[i]
	f.Platform.PutInstances(ward.Instance{
		Name: e.settings.Name, Role: ward.RoleEntry, Address: e.program.PeersAddress(),
		DataCentre: e.settings.DataCentre, State: ward.InstanceLeaving,
	})
	e.stop()
	<-e.done
	f.Platform.RemoveInstance(e.settings.Name)
}

// Restart starts a killed or stopped entry as a new instance under the same name.
func (f *Fleet) Restart(ctx context.Context, i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.start(ctx, f.entries[i])
}

// Close stops everything at once.
func (f *Fleet) Close() {
	for _, e := range f.entries {
		if e.program == nil {
			continue
		}
		e.program.Kill()
		<-e.done
		e.stop()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// ControlUsage returns the resource usage of an entry's control work.
func (f *Fleet) ControlUsage(i int) program.ControlUsage { return f.program(i).ControlUsage() }

// Size returns the number of entries, including stopped ones.
func (f *Fleet) Size() int { return len(f.entries) }

// Revision returns the revision in force at an entry.
func (f *Fleet) Revision(i int) uint64 { return f.program(i).Revision() }
