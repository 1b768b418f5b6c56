package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["cut-answers"] = playCutAnswers }

const (
	// uploadSize is the size of a client's body in bytes, below the configured 4 MiB.
	uploadSize = 4_000_000
	// answerSize is the size of a whole answer in bytes.
	answerSize = 800
	uploads    = 720
	uploaders  = 4
	// cutTime is for how long it does so.
	cutTime = 5 * time.Second
	// windowSize is the size in bytes of a replica's buffer for what arrives.
	windowSize = 32 << 10
	// cutShare is the share of its answers that the faulty replica breaks off.
	cutShare = 0.05
)

// earlyReplica answers before it has read a long body. Its answers have no length and end
// with their connection.
type earlyReplica struct {
	w      *world
	id     string
	faulty bool
	end    time.Time
	l      net.Listener

	mu   sync.Mutex
	cuts map[string]bool
	runs atomic.Int64
}

func newEarlyReplica(w *world, id string, faulty bool) (*earlyReplica, error) {
	// A small window, as the pages have it: a peer that does not read blocks the writer.
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowSize)
		})
		return errors.Join(err, set)
	}}
	l, err := small.Listen(w.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &earlyReplica{w: w, id: id, faulty: faulty, l: l, cuts: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c.(*net.TCPConn))
		}
	}()
	return r, nil
}

// wholeAnswer is the body of the answer to a request.
func wholeAnswer(id string) []byte {
	b := bytes.Repeat([]byte("."), answerSize)
	copy(b, "answer to "+id+" ")
	copy(b[answerSize-4:], "END\n")
	return b
}

func (r *earlyReplica) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	id := req.Header.Get("X-Agateward-Request-Id")
	if req.Header.Get("X-Agateward-Expect-Instance") != r.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Agateward-Request-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	r.runs.Add(1)
	cut := r.faulty && time.Now().Before(r.end) && rand.Float64() < cutShare
	r.w.record("replica %s runs %s, breaks off: %v", r.id, id, cut)
	// The work is done with the first bytes of the body: this replica answers early.
	time.Sleep(15 * time.Millisecond)
	body := wholeAnswer(id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Agateward-Request-Id: %s\r\nX-Agateward-Response-Signature: %s.1\r\nConnection: close\r\n\r\n", id, r.id)
	if _, err := c.Write(body[:answerSize/2]); err != nil {
		return
	}
	time.Sleep(5 * time.Millisecond)
	if cut {
		r.mu.Lock()
		r.cuts[id] = true
		r.mu.Unlock()
		_ = c.SetLinger(0) // the connection is reset
		return
	}
	if _, err := c.Write(body[answerSize/2:]); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // reads on; then the connection ends in order
}

func (r *earlyReplica) wasCut(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[id]
}

// playCutAnswers sends long bodies and looks for answers that were broken off and look
// complete.
func playCutAnswers(w *world, trouble bool) ([]string, error) {
	var replicas []*earlyReplica
	for i := range 4 {
		r, err := newEarlyReplica(w, "i-"+strconv.Itoa(i+1), trouble && i%2 == 0)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
		w.beat(r.id, "bookings", r.l.Addr().String(), 6)
	}
	routes := []map[string]any{{
		"Name": "seat-confirm", "Host": host, "Prefix": "/confirm/", "Kind": "unsafe", "TimeoutMs": 5000, "TargetLatencyMs": 1000,
		"Priority": 0, "Service": "bookings", "MaxAttempts": 1, "Public": true,
	}}
	services := []map[string]any{{"Name": "bookings", "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1"}}
	if err := w.configure(7, routes, services); err != nil {
		return nil, err
	}
	if err := w.startEntries(1); err != nil {
		return nil, err
	}
	for _, r := range replicas {
		r.end = time.Now().Add(cutTime)
	}
	var mu sync.Mutex
	var breaks []string
	var next, whole, failed, cut atomic.Int64
	var wg sync.WaitGroup
	for range uploaders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := next.Add(1); n <= uploads; n = next.Add(1) {
				id := fmt.Sprintf("r%04d", n)
				got := send(w.entries[0].front, id)
				isCut := replicas[0].wasCut(id) || replicas[2].wasCut(id)
				if isCut {
					cut.Add(1)
				}
				w.record("client %s: %s", id, got)
				switch {
				case got.complete && got.status == http.StatusOK && !bytes.Equal(got.body, wholeAnswer(id)):
					mu.Lock()
					breaks = append(breaks, fmt.Sprintf("MIXED: request %s got 200 with signature %q and a complete body of %d bytes; the replica's whole body has %d, and it reset the connection after %d",
						id, got.signature, len(got.body), answerSize, answerSize/2))
					mu.Unlock()
				case got.complete && got.status == http.StatusOK:
					whole.Add(1)
				default:
					failed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	w.record("sent %d, whole %d, failed or cut %d, broken off by the replica %d, shown as complete %d", uploads, whole.Load(), failed.Load(), cut.Load(), len(breaks))
	if whole.Load() == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return breaks, nil
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      []byte
	complete  bool
	err       error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, signature %q, %d bytes, complete %v, error %v", a.status, a.signature, len(a.body), a.complete, a.err)
}

// send sends one request on a new connection.
func send(front, id string) answer {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	go func() {
		head := fmt.Sprintf("POST /confirm/table HTTP/1.1\r\nHost: %s\r\nX-Agateward-Request-Id: %s\r\nX-Agateward-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", host, id, uploadSize)
		// A failed write shows when the answer is read.
		_, _ = c.Write([]byte(head))
		_, _ = c.Write(bytes.Repeat([]byte("x"), uploadSize))
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	a := answer{status: res.StatusCode, signature: res.Header.Get("X-Agateward-Response-Signature")}
	a.body, a.err = io.ReadAll(res.Body)
	a.complete = a.err == nil
	return a
}
