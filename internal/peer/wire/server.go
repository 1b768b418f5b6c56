package wire

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"agateward/internal/peer/codec"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

// Limits of a Server.
const (
	// maxConns bounds the connections, maxCalls the running calls of one
	// connection.
	maxConns = 1024
	maxCalls = 8
	// serviceName and callName are the names in net/rpc.
	serviceName = "Peer"
	callName    = serviceName + ".Exchange"
)

// Handler handles a message of another entry and returns the reply.
type Handler func(m ward.Exchange) (ward.Exchange, error)

// Server serves exchanges on a listener of its own.
type Server struct {
	// Key is the shared key of the fleet.
	Key     string
	Handler Handler
	Log     logr.Logger

	conns sync.Map // of net.Conn, so that Serve can close them
	count atomic.Int64
}

// service is the receiver that is registered with net/rpc.
type service struct {
	handler Handler
}

// Exchange is the only method of the service.
func (s *service) Exchange(m, reply *ward.Exchange) error {
	r, err := s.handler(*m)
	if err != nil {
		return errors.New(code.Text(err))
	}
	*reply = r
	return nil
}

// Serve accepts connections until ctx ends, and returns when all are closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	r := rpc.NewServer()
	if err := r.RegisterName(serviceName, &service{handler: s.Handler}); err != nil {
		return code.Internal.Wrap(err, "register the peer service")
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() {
		ln.Close()
		s.conns.Range(func(c, _ any) bool {
			c.(net.Conn).Close()
			return true
		})
	})
	defer stop()
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return code.ListenFailed.Wrap(err, "peer listener %s", ln.Addr())
		}
		if err != nil {
			// Out of file descriptors: open connections continue, new ones wait.
			s.Log.Info("peer-accept-failed", "error", err.Error())
			_ = ward.SystemClock{}.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		wg.Go(func() { s.serve(ctx, r, c) })
	}
}

func (s *Server) serve(ctx context.Context, r *rpc.Server, c net.Conn) {
	defer c.Close()
	if s.count.Add(1) > maxConns {
		s.count.Add(-1)
		return
	}
	defer s.count.Add(-1)
	s.conns.Store(c, nil)
	defer s.conns.Delete(c)
	if ctx.Err() != nil {
		return
	}
	if err := challenge(c, []byte(s.Key)); err != nil {
		s.Log.Info("peer-connection-refused", "remote", c.RemoteAddr().String(), "error", err.Error())
		return
	}
	r.ServeCodec(&serverCodec{conn: c})
}

// serverCodec is the rpc.ServerCodec of one connection.
type serverCodec struct {
	conn    net.Conn
	frame   []byte
	running atomic.Int64
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.running.Load() >= maxCalls {
		return errors.New("too many calls at once")
	}
	b, err := readFrame(c.conn, idleTimeout)
	if err != nil {
		return err
	}
	c.frame = b
	c.running.Add(1)
	var h header
	if err := codec.Unmarshal(b, &h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	frame := c.frame
	c.frame = nil
	return readBody(frame, body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.running.Add(-1)
	h := header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}
	if r.Error != "" {
		body = &ward.Exchange{}
	}
	err := writeFrame(c.conn, &h, body)
	if err != nil {
		c.conn.Close() // otherwise net/rpc continues reading
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

// header holds the fields that net/rpc needs beside the body.
type header struct {
	Method string
	Seq    uint64
	Error  string
}
