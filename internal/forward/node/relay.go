package node

import (
	"context"
	"net"
	"net/http"
	"slices"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/gate"
)

// newRelay returns the connections over which requests go to other entries.
func (n *Node) newRelay() *gate.Relay {
	return &gate.Relay{Pool: &backend.Pool{Dial: n.dialPeer}, Entries: n.fleetAddresses, DataCentre: n.dataCentreOf}
}

// dataCentreOf returns the data centre of the entry with an address by the store's list of
// entries, "" if it is not listed.
func (n *Node) dataCentreOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.DataCentres[address]
}

// dialPeer opens a connection to another entry from the address by which that entry knows
// this one.
func (n *Node) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	if host, _, err := net.SplitHostPort(n.peerAddress()); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			d.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return d.DialContext(ctx, "tcp", address)
}

// serveRelayed serves the requests that other entries relay. Others may not pose as one.
func (n *Node) serveRelayed(w http.ResponseWriter, r *http.Request) {
	if !n.isEntry(r.RemoteAddr) {
		n.gate.DenyRelayed(w, r)
		return
	}
	n.gate.ServeRelayed(w, r)
}

// isEntry reports whether an address is on the host of a known entry.
func (n *Node) isEntry(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && slices.ContainsFunc(n.fleetAddresses(), func(a string) bool {
		h, _, err := net.SplitHostPort(a)
		return err == nil && h == host
	})
}
