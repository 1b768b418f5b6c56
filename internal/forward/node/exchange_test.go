package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"agateward/internal/forward/replicas"
	"agateward/internal/forward/view"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// countingListener counts the bytes that are written to its connections.
type countingListener struct {
	net.Listener
	sent atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, sent: &l.sent}, err
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// documents returns a configuration of n routes and 60 upstreams.
func documents(n int) view.State {
	r := rand.New(rand.NewPCG(1, 1))
	word := func() string { return fmt.Sprintf("%06x", r.Uint32N(1<<24)) }
	s := view.State{Revision: 900}
	s.Forwarding.Version = 7
	for range n {
		s.Forwarding.Routes = append(s.Forwarding.Routes, ward.ForwardRoute{
			Name: word(), Host: word() + ".example", Prefix: "/" + word() + "/", Kind: ward.ForwardSafe,
			Timeout: ward.Duration(4 * time.Second), Target: ward.Duration(100 * time.Millisecond),
			Split: []ward.ForwardShare{{Service: "bookings", Weight: 100}}, Attempts: 2,
		})
	}
	for i := range 60 {
		s.Replicas = append(s.Replicas, replicas.Entry{Revision: uint64(i + 1), Replica: ward.Replica{
			ID: "i-" + word(), Service: "bookings", Address: fmt.Sprintf("10.0.1.%d:7000", i), Slots: 6,
		}})
	}
	return s
}

// serving returns a node that serves the documents, and its listener.
func serving(t *testing.T, s view.State) (*Node, *countingListener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	n := &Node{log: logr.Discard(), view: &view.View{Log: logr.Discard(), Changed: func() {}}}
	n.view.Merge("test", s)
	c := &countingListener{Listener: l}
	go n.serveState(t.Context(), c)
	return n, c
}

// TestLargeConfigurationOverSlowLink lets a whole cell fetch a configuration of
// 2,000 routes from one entry at once. Over a link of 10 Mbit/s, all replies have
// to be sent within fetchTimeout.
func TestLargeConfigurationOverSlowLink(t *testing.T) {
	const (
		peers = 11
		link  = 10e6 / 8 // bytes a second
	)
	want := documents(2000)
	_, l := serving(t, want)
	for range peers {
		got, err := fetch(l.Addr().String(), ward.DocumentVersions{})
		if err != nil {
			t.Fatal(err)
		}
		if got.Forwarding.Version != 7 || len(got.Forwarding.Routes) != 2000 || len(got.Replicas) != 60 || got.Revision != 900 {
			t.Fatalf("version %d, %d routes, %d upstreams, revision %d", got.Forwarding.Version, len(got.Forwarding.Routes), len(got.Replicas), got.Revision)
		}
		if got.Forwarding.Routes[5].Prefix != want.Forwarding.Routes[5].Prefix {
			t.Fatalf("route %+v", got.Forwarding.Routes[5])
		}
	}
	if sent, limit := l.sent.Load(), int64(link*fetchTimeout.Seconds()); sent > limit {
		t.Errorf("%d bytes for %d peers, the link carries %d within %s", sent, peers, limit, fetchTimeout)
	}
}
