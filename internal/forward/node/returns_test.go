package node

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/config/forwarding"
	"agateward/internal/forward/peers"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/returns"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// Guards against promises that reach entries of other data centres, whose links and callers
// they don't concern, or only those of the own cell.
func TestReturnsAreSentWithinTheDataCentre(t *testing.T) {
	s := forwarding.Default()
	s.Name, s.DataCentre, s.Listen.State = "entry-0", "a", "127.0.0.1:1"
	n := New(s, Parts{Log: logr.Discard()})
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	n.peerConn = listen()
	var all []ward.ForwardEntry
	conns := make([]*net.UDPConn, 30)
	for i := range conns {
		conns[i] = listen()
		all = append(all, ward.ForwardEntry{Name: fmt.Sprint("entry-", i+1), DataCentre: string(rune('a' + i%2)), Listen: conns[i].LocalAddr().String()})
	}
	n.cell = peers.CellOf(all, ward.ForwardEntry{Name: s.Name, DataCentre: s.DataCentre})
	n.sendReturns(returns.News{})
	sent := returns.News{Given: []returns.Given{{Key: returns.Key{Digest: 1 << 63, ID: 7}, Service: "menus", Rank: [2]int{1, 2}, Waited: 40, Ahead: 300}}, Used: []returns.Key{{Digest: 3, ID: 4}}}
	n.sendReturns(sent)
	buf := make([]byte, peerstate.MaxSize)
	for i, c := range conns {
		wait := 2 * time.Second
		if i%2 == 1 {
			wait = time.Millisecond
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			t.Fatal(err)
		}
		size, err := c.Read(buf)
		if (err == nil) != (i%2 == 0) {
			t.Fatalf("entry of data centre %s: %v", all[i].DataCentre, err)
		}
		if err != nil {
			continue
		}
		m, err := peerstate.Decode(buf[:size])
		if err != nil || !m.News || m.Returns == nil || len(m.Returns.Given) != 1 || m.Returns.Given[0] != sent.Given[0] || m.Returns.Used[0] != sent.Used[0] {
			t.Fatalf("%+v, %v", m, err)
		}
	}
}

// Guards against a message of promises that takes too much of a narrow link, or does not fit
// into a datagram.
func TestSizeOfReturns(t *testing.T) {
	n := &returns.News{}
	for i := range uint64(returns.MaxNews) {
		n.Given = append(n.Given, returns.Given{Key: returns.Key{Digest: ^i, ID: ^i}, Service: "a-service-with-a-long-name", Rank: [2]int{100, 100}, Waited: 1 << 20, Ahead: 3000})
	}
	b, err := peerstate.Message{Name: "entry-1", Listen: "10.0.0.1:7600", Returns: n, News: true}.Encode()
	if most := 100 * returns.MaxNews; err != nil || len(b) > most {
		t.Errorf("%d bytes, %v; want at most %d", len(b), err, most)
	}
}

// Guards against a message for each refusal: entries have narrow links.
func TestReturnsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := forwarding.Default()
		s.Name, s.Listen.State = "entry-0", "127.0.0.1:1"
		n := New(s, Parts{Log: logr.Discard()})
		go n.returnsLoop(t.Context())
		synctest.Wait()
		n.returnsChanged()
		synctest.Wait()
		n.returnsChanged()
		time.Sleep(returnsInterval - time.Millisecond)
		if len(n.returnsNow) == 0 {
			t.Errorf("the second request was taken within %v", returnsInterval)
		}
		time.Sleep(2 * time.Millisecond)
		if len(n.returnsNow) != 0 {
			t.Errorf("the second request was not taken after %v", returnsInterval)
		}
	})
}
