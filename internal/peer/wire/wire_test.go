package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/peer/codec"
	"agateward/internal/peer/size"
	"agateward/internal/result/code"
	"agateward/ward"

	"pgregory.net/rapid"
)

// serve starts a server on loopback and returns its address.
func serve(t *testing.T, key string, h Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- (&Server{Key: key, Handler: h}).Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("Serve() = %v", err)
		}
	})
	return ln.Addr().String()
}

func echo(m ward.Exchange) (ward.Exchange, error) { return m, nil }

func TestExchange(t *testing.T) {
	address := serve(t, "k", echo)
	c := &Client{Key: "k"}
	defer c.Close()
	want := ward.Exchange{Fleet: "f", From: "a", Revision: 7, States: []ward.PeerState{{Name: "a", Address: address}},
		Config: &ward.Config{Fleet: "f", Teams: make([]ward.Team, 2000)}}
	for range 3 {
		got, err := c.Exchange(context.Background(), address, want)
		if err != nil || !reflect.DeepEqual(got.States, want.States) || len(got.Config.Teams) != 2000 {
			t.Fatalf("Exchange() = %v, %v", got.States, err)
		}
	}
	if len(c.pool) != 1 {
		t.Errorf("%d connections are kept, want 1", len(c.pool))
	}
}

func TestExchangeFails(t *testing.T) {
	refuses := func(ward.Exchange) (ward.Exchange, error) {
		return ward.Exchange{}, code.PeerRefused.New("another fleet")
	}
	hangs := func(m ward.Exchange) (ward.Exchange, error) {
		time.Sleep(300 * time.Millisecond)
		return m, nil
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := []struct {
		name    string
		address string
		key     string
		want    func(error) bool
	}{
		{"nobody listens", closed.Addr().String(), "k", func(err error) bool { return errors.Is(err, ward.ErrNotConnected) }},
		{"refused", serve(t, "k", refuses), "k", code.PeerRefused.Is},
		{"too late", serve(t, "k", hangs), "k", func(err error) bool { return errors.Is(err, context.DeadlineExceeded) }},
		{"another key", serve(t, "k", echo), "other", func(err error) bool { return err != nil && !code.PeerRefused.Is(err) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := &Client{Key: c.key, Timeout: 100 * time.Millisecond}
			defer cl.Close()
			if _, err := cl.Exchange(context.Background(), c.address, ward.Exchange{From: "a"}); !c.want(err) {
				t.Errorf("Exchange() = %v", err)
			}
		})
	}
}

// TestServerLimits sends invalid frames and expects the connection to be closed
// without an answer.
func TestServerLimits(t *testing.T) {
	address := serve(t, "k", echo)
	cases := []struct {
		name string
		send []byte
	}{
		{"a frame over the limit", binary.BigEndian.AppendUint32(nil, codec.MaxEncoded+1)},
		{"a frame that is no message", append(binary.BigEndian.AppendUint32(nil, 4), "xxxx"...)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := proveKey(conn, []byte("k")); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write(c.send); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if b, err := io.ReadAll(conn); err != nil || len(b) > 0 {
				t.Errorf("got %d bytes, %v, want a closed connection", len(b), err)
			}
		})
	}
}

// TestSizesAreUpperBounds compares the bounds of package size with the encoding.
func TestSizesAreUpperBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := exchange(t)
		b, err := codec.Marshal(&header{Method: callName, Seq: rapid.Uint64().Draw(t, "seq")}, &m)
		if err != nil {
			t.Fatal(err)
		}
		if b[0] == 0 && len(b) > size.Exchange(m) {
			t.Errorf("encoded %d bytes, bound %d: %+v", len(b), size.Exchange(m), m)
		}
		var h header
		var got ward.Exchange
		if err := codec.Unmarshal(b, &h, &got); err != nil {
			t.Errorf("Unmarshal() = %v", err)
		}
		again, err := codec.Marshal(&h, &got)
		if err != nil || string(again) != string(b) {
			t.Errorf("the decoded message encodes in another way: %v", err)
		}
	})
}

func exchange(t *rapid.T) ward.Exchange {
	text := rapid.StringN(0, 40, 120)
	num := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 300))
	small := rapid.OneOf(rapid.IntRange(0, 1<<40), rapid.IntRange(0, 200))
	m := ward.Exchange{Fleet: text.Draw(t, "fleet"), Protocol: 1, From: text.Draw(t, "from"), To: text.Draw(t, "to"),
		Incarnation: ward.Incarnation(num.Draw(t, "incarnation")), Revision: num.Draw(t, "revision"), Digest: num.Draw(t, "digest")}
	at := time.Unix(rapid.Int64Range(-1<<40, 1<<40).Draw(t, "s"), rapid.Int64Range(0, 999_999_999).Draw(t, "ns"))
	for range rapid.IntRange(0, 3).Draw(t, "items") {
		s := ward.PeerState{Name: text.Draw(t, "name"), Address: text.Draw(t, "address"), Incarnation: ward.Incarnation(num.Draw(t, "i")), Seq: num.Draw(t, "q"), Floor: 4}
		s.Demand = []ward.Demand{{Upstream: text.Draw(t, "u"), InFlight: small.Draw(t, "f"), Prefill: small.Draw(t, "p")}}
		b := ward.Heartbeat{Entry: rapid.Uint32().Draw(t, "id"), Seq: num.Draw(t, "q"), Revision: num.Draw(t, "r")}
		b.Waiting[1] = small.Draw(t, "w")
		b.Floors = []ward.ServesFloor{{Serves: text.Draw(t, "serves"), Need: 2, Floor: 3, Waiting: b.Waiting}}
		b.Draining = []string{text.Draw(t, "leaving"), text.Draw(t, "leaving too")}
		s.Floors, s.Draining = b.Floors, b.Draining
		s.Waiting = b.Waiting
		c := ward.Counts{Serves: text.Draw(t, "serves"), Entry: text.Draw(t, "entry"), Succeeded: num.Draw(t, "ok")}
		c.Latency[3] = num.Draw(t, "l")
		m.States, m.Heartbeats, m.Counts = append(m.States, s), append(m.Heartbeats, b), append(m.Counts, c)
		m.Quarantines = append(m.Quarantines, ward.Quarantine{Serves: text.Draw(t, "serves"), Reason: text.Draw(t, "reason"), Ticket: num.Draw(t, "t"), At: at})
		m.Moves = append(m.Moves, ward.MoveState{Move: text.Draw(t, "move"), Share: 0.5, Since: at, Step: small.Draw(t, "step")})
		m.Buckets = append(m.Buckets, rapid.Uint32().Draw(t, "bucket"))
	}
	if rapid.Bool().Draw(t, "config") {
		cfg := ward.Config{Fleet: text.Draw(t, "fleet"), Revision: num.Draw(t, "r"), Accepted: at, Attempt: text.Draw(t, "attempt")}
		cfg.Routes = []ward.Route{{Name: text.Draw(t, "route"), Methods: []string{text.Draw(t, "method")}, Deadline: ward.Duration(num.Draw(t, "d")), Tier: 3}}
		cfg.Upstreams = []ward.Upstream{{Name: text.Draw(t, "u"), Ticket: num.Draw(t, "t"), Address: text.Draw(t, "a"), Generation: small.Draw(t, "g")}}
		cfg.Teams = []ward.Team{{Name: text.Draw(t, "team"), Weight: small.Draw(t, "w"), KeyHash: strings.Repeat("a", 64)}}
		cfg.Moves = []ward.Move{{Name: text.Draw(t, "move"), Start: at, Load: []string{text.Draw(t, "load")}}}
		m.Delta = &ward.ConfigDelta{Base: num.Draw(t, "base"), Config: cfg, Sum: num.Draw(t, "sum"), TeamsGone: []string{text.Draw(t, "gone")}}
		m.Config = &cfg
	}
	return m
}
