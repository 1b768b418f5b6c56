package node

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"agateward/internal/forward/document"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/view"
	"agateward/ward"
)

// Timing of the exchange between entries.
const (
	// peerStateInterval is the interval of the messages to peers, a fraction of the
	// time that most requests run.
	peerStateInterval = 60 * time.Millisecond
	// minPeerStateInterval is the minimum time between two messages.
	minPeerStateInterval = 15 * time.Millisecond
	// fetchDelay is the time to wait before newer documents are fetched from a peer:
	// usually the store's own answer comes first.
	fetchDelay = 120 * time.Millisecond
	// fetchTimeout bounds one fetch of documents from a peer.
	fetchTimeout = 700 * time.Millisecond
	// stateTimeout bounds one connection of a peer that fetches documents.
	stateTimeout = 2 * time.Second
)

// broadcastLoop sends this entry's state to the peers until ctx ends.
func (n *Node) broadcastLoop(ctx context.Context) {
	now := time.Now()
	n.mu.Lock()
	for _, seed := range n.settings.Seeds {
		if a := n.peerAddressOf(seed); a != n.peerAddress() {
			n.peers.AddCandidate(a, now)
		}
	}
	n.mu.Unlock()
	t := time.NewTimer(peerStateInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.broadcastNow:
		}
		n.broadcastState()
		t.Reset(peerStateInterval)
		// Requests to send that come in a burst share one message.
		select {
		case <-ctx.Done():
			return
		case <-time.After(minPeerStateInterval):
		}
	}
}

// triggerBroadcast makes broadcastLoop send the next message without waiting for its
// interval.
func (n *Node) triggerBroadcast() {
	select {
	case n.broadcastNow <- struct{}{}:
	default:
	}
}

func (n *Node) broadcastState() {
	now := time.Now()
	m := peerstate.Message{Name: n.settings.Name, Start: n.start, StateAddress: n.settings.Listen.State, Listen: n.peerAddress()}
	m.Documents = n.view.Versions()
	m.StoreAge = min(now.Sub(n.view.LastAnswer()), time.Hour).Milliseconds()
	n.gate.Report(&m)
	n.mu.Lock()
	n.sequence++
	m.Sequence = n.sequence
	m.Peers = n.peers.AliveAddresses(now)
	targets := n.peers.Targets(now)
	n.mu.Unlock()
	b, err := m.Encode()
	if err != nil {
		n.log.Error(err, "news-not-sent")
		return
	}
	for _, to := range targets {
		n.send(b, to)
	}
}

func (n *Node) isMember(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.IsMember(name)
}

// sendGrant grants a slot of an upstream to a peer.
func (n *Node) sendGrant(a schedule.Action) {
	n.mu.Lock()
	to := n.peers.Address(a.GrantTo)
	n.mu.Unlock()
	if to == "" || n.peerConn == nil {
		return
	}
	m := peerstate.Message{Name: n.settings.Name, Listen: n.peerAddress(), Grant: a.Upstream.ID, GrantSequence: a.Sequence, GrantUsed: a.Used, GrantPermit: a.Permit}
	b, err := m.Encode()
	if err != nil {
		n.log.Error(err, "slot-not-yielded", "peer", a.GrantTo)
		return
	}
	n.send(b, to)
}

// broadcastMoves sends the state of roll-outs to the peers.
func (n *Node) broadcastMoves(moves peerstate.Moves) {
	m := peerstate.Message{Name: n.settings.Name, Listen: n.peerAddress(), Moves: &moves}
	b, err := m.Encode()
	if err != nil {
		n.log.Error(err, "moves-not-told")
		return
	}
	n.mu.Lock()
	targets := n.peers.Targets(time.Now())
	n.mu.Unlock()
	for _, to := range targets {
		n.send(b, to)
	}
}

func (n *Node) send(b []byte, to string) {
	a, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return // a peer may have sent an invalid address
	}
	// A datagram that is not sent is replaced by the next.
	_, _ = n.peerConn.WriteToUDP(b, a)
}

// receiveLoop handles the messages of peers until ctx ends.
func (n *Node) receiveLoop(ctx context.Context) {
	buf := make([]byte, peerstate.MaxSize)
	for ctx.Err() == nil {
		size, _, err := n.peerConn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier send
		}
		n.receive(ctx, buf[:size])
	}
}

// receive handles one message of a peer, or what another sender wrote to the port.
func (n *Node) receive(ctx context.Context, b []byte) {
	m, err := peerstate.Decode(b)
	if err != nil {
		n.ignored.Note(n.log, "news-ignored", "error", err.Error())
		return
	}
	if n.receiveEvent(m) {
		return
	}
	now := time.Now()
	own := n.view.Versions()
	n.mu.Lock()
	fresh := n.peers.Receive(m, now)
	if fresh {
		n.peers.TrackLag(m, own, now)
	}
	entries := max(n.peers.Entries(now), n.cell.FleetSize)
	n.mu.Unlock()
	if fresh {
		n.gate.UpdatePeer(m, entries)
		n.catchUp(ctx, m)
	}
}

// receiveEvent handles a message that is not the sender's whole state, and reports whether m
// is one.
func (n *Node) receiveEvent(m peerstate.Message) bool {
	if m.Grant != "" && n.isMember(m.Name) {
		n.gate.ReceiveGrant(m)
	}
	if m.Moves != nil && n.isMember(m.Name) {
		n.rollout.UpdatePeer(*m.Moves)
	}
	if len(m.Prompts) > 0 {
		n.gate.MergeCrashes(m.Name, m.Prompts)
	}
	if m.Lending != nil {
		if n.ofOtherCell(m.Name) {
			n.gate.ReceiveLending(m.Name, *m.Lending)
		}
		return true
	}
	if m.Returns != nil {
		n.gate.MergeReturns(m.Name, *m.Returns)
	}
	if m.News {
		n.gate.MergeLimits(m)
	}
	return m.Grant != "" || m.Moves != nil || len(m.Prompts) > 0 || m.News
}

// lacks reports whether a peer with the versions o may have documents that an entry
// with the versions v lacks.
func lacks(v, o ward.DocumentVersions) bool { return v.OlderThan(o) || v.OrdersDiffer(o) }

// catchUp fetches the documents of a peer that has newer ones.
func (n *Node) catchUp(ctx context.Context, m peerstate.Message) {
	if !lacks(n.view.Versions(), m.Documents) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetching {
		return
	}
	n.fetching = true
	go func() {
		defer func() {
			n.mu.Lock()
			n.fetching = false
			n.mu.Unlock()
		}()
		wait := fetchDelay
		if !n.followsStore() {
			wait = 0 // there is no answer of the store to wait for
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		own := n.view.Versions()
		if !lacks(own, m.Documents) {
			return
		}
		s, err := fetch(m.StateAddress, own)
		if err != nil {
			n.log.Info("fetch-failed", "peer", m.Name, "error", err.Error())
			time.Sleep(fetchDelay) // limits the rate at a peer that fails at once
			return
		}
		n.view.Merge(m.Name, s)
	}()
}

// StateReply holds the documents that are newer than those of the asking entry:
// the configuration, and the upstreams with the roll-outs.
type StateReply struct {
	Config, Replicas document.Packed
}

// State serves the documents of an entry to its peers over net/rpc.
type State struct {
	node *Node
}

// Get returns the documents that are newer than those of the asking entry.
func (s *State) Get(in ward.DocumentVersions, out *StateReply) error {
	var err error
	out.Config, out.Replicas, err = s.node.view.Newer(in)
	return err
}

func fetch(address string, in ward.DocumentVersions) (view.State, error) {
	conn, err := net.DialTimeout("tcp", address, fetchTimeout)
	if err != nil {
		return view.State{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return view.State{}, err
	}
	var r StateReply
	if err := rpc.NewClient(conn).Call("State.Get", in, &r); err != nil {
		return view.State{}, err
	}
	var s view.State
	if len(r.Replicas) > 0 {
		if err := r.Replicas.Open(&s); err != nil {
			return view.State{}, err
		}
	}
	if len(r.Config) > 0 {
		if err := r.Config.Open(&s.Forwarding); err != nil {
			return view.State{}, err
		}
	}
	return s, nil
}

// serveState answers peers until the listener is closed.
func (n *Node) serveState(_ context.Context, l net.Listener) {
	s := rpc.NewServer()
	if err := s.Register(&State{node: n}); err != nil {
		n.log.Error(err, "state-not-served")
		return
	}
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Info("state-accept-failed", "error", err.Error())
			time.Sleep(fetchDelay)
			continue
		}
		if err := conn.SetDeadline(time.Now().Add(stateTimeout)); err != nil {
			conn.Close()
			continue
		}
		go s.ServeConn(conn)
	}
}
