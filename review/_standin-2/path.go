package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// path is the network path of one machine to the platform's store.
type path struct {
	address string
	// cut is true while the store does not respond on this path.
	cut atomic.Bool
}

// openPath opens the path of an entry.
func (w *world) openPath(e *entry) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.path = &path{address: l.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.pass(e, rw, r) })}
	go func() { _ = server.Serve(l) }()
	w.closer = append(w.closer, func() { _ = server.Close() })
	return nil
}

// pass passes one call on to the store.
func (w *world) pass(e *entry, rw http.ResponseWriter, r *http.Request) {
	e.path.await(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answered := recorder{header: http.Header{}}
	w.store.ServeHTTP(&answered, r)
	e.path.await(r)
	for name, values := range answered.header {
		rw.Header()[name] = values
	}
	rw.WriteHeader(answered.status)
	_, _ = rw.Write(answered.body.Bytes())
	if f, ok := rw.(http.Flusher); ok {
		f.Flush()
	}
	w.mu.Lock()
	written := w.written
	w.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/kv-txn") && answered.status == http.StatusOK && written != nil {
		written(e, body)
	}
}

// await returns at once unless the path is cut. A call, or its answer, that meets a cut is
// lost: there is no response, also after the cut, until the caller gives up.
func (p *path) await(r *http.Request) {
	if !p.cut.Load() {
		return
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// recorder keeps an answer until it is passed on.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *recorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}
