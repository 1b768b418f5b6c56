package proxy

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"
)

// echo starts a server that echoes each line, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for s := bufio.NewScanner(c); s.Scan(); {
					c.Write(append(s.Bytes(), '\n'))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func TestModes(t *testing.T) {
	cases := []struct {
		mode Mode
		// within is the time limit of an answer, 0 for no answer while the mode lasts.
		within time.Duration
		ends   bool
	}{
		{Pass, 100 * time.Millisecond, false},
		{Delay, time.Second, false},
		{Reset, 0, true},
		{Hold, 0, false},
		{HoldAnswers, 0, false},
	}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			p := &Proxy{Target: echo(t)}
			if err := p.Listen(); err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			conn, err := net.Dial("tcp", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			ask := func(d time.Duration) error {
				conn.SetDeadline(time.Now().Add(d))
				if _, err := conn.Write([]byte("x\n")); err != nil {
					return err
				}
				_, err := r.ReadString('\n')
				return err
			}
			if err := ask(time.Second); err != nil {
				t.Fatal(err)
			}
			p.Set(c.mode)
			start := time.Now()
			err = ask(max(c.within, 300*time.Millisecond))
			switch {
			case c.within > 0 && err != nil:
				t.Errorf("no answer: %v", err)
			case c.within == 0 && err == nil:
				t.Error("answered")
			case c.mode == Delay && time.Since(start) < 2*DelayTime:
				t.Errorf("answered after %s", time.Since(start))
			}
			var timeout net.Error
			if waited := errors.As(err, &timeout) && timeout.Timeout(); err != nil && c.ends == waited {
				t.Errorf("error %v, connection ends %v", err, c.ends)
			}
			if c.ends {
				return
			}
			p.Set(Pass)
			if err := ask(time.Second); err != nil {
				t.Errorf("after the fault: %v", err)
			}
		})
	}
}

// TestSilencedConnectionsStaySilent checks that only the connections that were open fall
// silent, and that they do not end.
func TestSilencedConnectionsStaySilent(t *testing.T) {
	p := &Proxy{Target: echo(t)}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	ask := func(c net.Conn) error {
		c.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Write([]byte("ping\n")); err != nil {
			return err
		}
		_, err := bufio.NewReader(c).ReadString('\n')
		return err
	}
	conns := make([]net.Conn, 2)
	for i := range conns {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns[i] = c
		if err := ask(c); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if n := p.SilenceOpen(); n != 1 {
				t.Fatalf("%d connections fell silent, want 1", n)
			}
		}
	}
	var timeout net.Error
	if err := ask(conns[0]); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("the silent connection: %v, want a time-out", err)
	}
	if err := ask(conns[1]); err != nil {
		t.Errorf("the new connection: %v", err)
	}
}
