// Package surface provides the HTTP interface for callers: model requests in
// the format of the OpenAI API, plain services below /services/, and the list
// of models.
//
// # Usage
//
//	s := surface.New(surface.Deps{Config: holder.Current, Open: path.Open, ...})
//	srv := http.Server{Handler: s}
//
// Every answer to an accepted request carries X-Request-Id, the argument of
// agateward explain. A stream that can't be completed ends with an event named
// error and without its end mark; any other answer is buffered until it is
// complete.
package surface

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"agateward/internal/caller/intake"
	"agateward/internal/caller/refusal"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/explain"
	"agateward/internal/telemetry/log"
	"agateward/internal/telemetry/metric"
	"agateward/internal/telemetry/trace"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/attribute"
)

// HeaderRequest is the header with the request id that the caller gets.
const HeaderRequest = "X-Request-Id"

// Deps holds the dependencies of a Surface.
type Deps struct {
	Intake intake.Intake
	// MaxBody is in bytes; WriteTimeout bounds one write to a slow caller.
	MaxBody      int
	WriteTimeout time.Duration
	// Config returns the current configuration, nil while there is none.
	Config func() *ward.Config
	// Open runs a request and returns its answer.
	Open func(ctx context.Context, q *ward.Request) (ward.Answer, error)
	// Ending reports whether connections end after their answers, as they do when the entry
	// exits. They do not if it is nil.
	Ending  func() bool
	Clock   ward.Clock
	Log     logr.Logger
	Metrics *metric.Set
	Trace   *trace.Tracer
	Explain *explain.Log
}

// Surface is the handler for callers.
type Surface struct {
	Deps
	router *httprouter.Router
}

// New returns the handler.
func New(d Deps) *Surface {
	s := &Surface{Deps: d, router: httprouter.New()}
	// After a redirect a caller would send the body of its request again.
	s.router.RedirectTrailingSlash = false
	s.router.RedirectFixedPath = false
	s.router.POST("/v1/chat/completions", s.model)
	s.router.POST("/v1/completions", s.model)
	s.router.GET("/v1/models", s.models)
	for _, m := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		s.router.Handle(m, "/services/:service/*path", s.service)
	}
	s.router.NotFound = s.refuseHandler(code.UnknownRoute, "no such path")
	s.router.MethodNotAllowed = s.refuseHandler(code.UnknownRoute, "no such method on this path")
	return s
}

// ServeHTTP serves one request of a caller. A panic ends only the request that
// it happened in.
func (s *Surface) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(v)
		}
		s.Log.Error(nil, "request-panic", "value", v, "stack", string(debug.Stack()))
		panic(http.ErrAbortHandler)
	}()
	s.announceEnd(w)
	s.router.ServeHTTP(w, r)
}

// announceEnd tells the caller that its connection ends after the answer, if it does.
func (s *Surface) announceEnd(w http.ResponseWriter) {
	if s.Ending != nil && s.Ending() {
		w.Header().Set("Connection", "close")
	}
}

func (s *Surface) refuseHandler(c code.Code, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		refusal.Of(c.New("%s", text), "").Write(w)
	}
}

func (s *Surface) model(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.serve(w, r, func(body []byte, cfg *ward.Config, now time.Time) (*ward.Request, error) {
		return s.Intake.Model(r, body, cfg, now)
	})
}

func (s *Surface) service(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.serve(w, r, func(body []byte, cfg *ward.Config, now time.Time) (*ward.Request, error) {
		return s.Intake.Service(r, p.ByName("service"), p.ByName("path"), body, cfg, now)
	})
}

// parser builds a validated request from a body.
type parser func(body []byte, cfg *ward.Config, now time.Time) (*ward.Request, error)

// serve handles one request from reading its body to the end of its answer.
func (s *Surface) serve(w http.ResponseWriter, r *http.Request, parse parser) {
	q, err := s.read(w, r, parse)
	if err != nil {
		s.Metrics.Refused(code.Of(err), 0)
		s.Log.V(log.LevelDebug).Info("request-refused", "code", code.Of(err).Number, "text", code.Text(err))
		s.announceEnd(w)
		refusal.Of(err, "").Write(w)
		return
	}
	ctx, span := s.Trace.Start(s.Trace.Extract(r.Context(), r.Header), "entry",
		attribute.String("request", q.ID), attribute.String("route", q.Route), attribute.Int("tier", int(q.Tier)))
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	s.Metrics.Arrived(q.Tier)
	s.Explain.Add(q.ID, explain.Hop{At: q.Arrived, Name: "arrive", Text: "team " + q.Team + ", route " + q.Route})
	w.Header().Set(HeaderRequest, q.ID)

	out := &writer{w: w, rc: http.NewResponseController(w), timeout: s.WriteTimeout, clock: s.Clock, stream: q.Stream, beforeHead: s.announceEnd}
	err = s.answer(ctx, q, out)
	s.finish(q, out, err)
}

// read reads the body and validates the request.
func (s *Surface) read(w http.ResponseWriter, r *http.Request, parse parser) (*ward.Request, error) {
	cfg := s.Config()
	if cfg == nil {
		return nil, code.NotReady.New("this entry has no configuration yet")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.MaxBody)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, code.BodyTooLarge.New("the body is larger than %d bytes", s.MaxBody)
	case err != nil:
		return nil, code.CallerTooSlow.Wrap(err, "read the body")
	}
	return parse(body, cfg, s.Clock.Now())
}

// answer copies the answer of q to the caller.
func (s *Surface) answer(ctx context.Context, q *ward.Request, out *writer) error {
	a, err := s.Open(ctx, q)
	if err != nil {
		return err
	}
	defer a.Close()
	for {
		c, err := a.Next(ctx)
		if err != nil {
			return err
		}
		if err := out.chunk(c); err != nil {
			return code.CallerGone.Wrap(err, "write the answer")
		}
		if c.Last {
			return nil
		}
	}
}

// finish ends the answer and records the result of the request. On an error it
// sends a refusal, or an error event if a stream has begun, or aborts the
// connection.
func (s *Surface) finish(q *ward.Request, out *writer, err error) {
	now := s.Clock.Now()
	if err == nil {
		inTime := !now.After(q.Deadline) && (q.FirstToken == 0 || out.first.Sub(q.Arrived) <= q.FirstToken)
		s.Metrics.Done(q.Tier, inTime, out.first.Sub(q.Arrived), now.Sub(q.Arrived))
		s.Explain.Add(q.ID, explain.Hop{At: now, Name: "done", Text: "whole answer"})
		s.Log.V(log.LevelDebug).Info("request-done", "request", q.ID, "tier", q.Tier, "ms", now.Sub(q.Arrived).Milliseconds())
		return
	}
	c := code.Of(err)
	s.Metrics.Refused(c, q.Tier)
	s.Explain.Add(q.ID, explain.Hop{At: now, Name: "failed", Text: c.String() + ": " + code.Text(err)})
	if c.Number == code.Internal.Number {
		s.Log.Error(err, "request-internal-error", "request", q.ID)
	}
	s.Log.V(log.LevelDebug).Info("request-failed", "request", q.ID, "code", c.Number, "run", c.Run, "text", code.Text(err))
	f := refusal.Of(err, q.ID)
	switch {
	case !out.begun:
		out.extendDeadline()
		s.announceEnd(out.w)
		f.Write(out.w)
	case q.Stream && c.Number != code.CallerGone.Number:
		out.extendDeadline()
		f.WriteEvent(out.w)
	default:
		// Closing the connection shows the caller that the answer is truncated.
		panic(http.ErrAbortHandler)
	}
}
