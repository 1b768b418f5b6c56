// Package surface provides the HTTP interface for operators, on its own
// listener: submitting tickets, reading moves and events, and the state of the
// entry with the reasons for it.
//
// # Usage
//
//	s := surface.New(surface.Deps{Acceptance: acc, Config: holder.Current, ...})
//	srv := http.Server{Handler: s}
//
// # Paths
//
//	POST /tickets            accept a ticket; ?dry-run=true only checks it
//	GET  /tickets            the most recently accepted tickets
//	GET  /tickets/NUMBER     one ticket
//	GET  /moves              current moves with their states
//	GET  /moves/NAME         one move with its events
//	GET  /events?after=N     events as a server-sent stream
//	GET  /config             the current configuration
//	GET  /status             this entry: revision, peers, upstreams, floors
//	GET  /explain/REQUEST    the hops of a recent request
//	GET  /metrics            metrics in the Prometheus text format
//	GET  /healthz, /readyz   for the load balancer, without a key
//
// All but the last two require the operators' key as a bearer token.
package surface

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"agateward/internal/caller/refusal"
	"agateward/internal/operator/access"
	"agateward/internal/operator/notice"
	"agateward/internal/result/code"
	"agateward/internal/telemetry/explain"
	"agateward/internal/telemetry/metric"
	"agateward/internal/ticket/acceptance"
	"agateward/internal/ticket/document"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
)

// Deps holds the dependencies of a Surface.
type Deps struct {
	Key        access.Key
	Acceptance *acceptance.Acceptance
	Config     func() *ward.Config
	Moves      func() []ward.MoveState
	Status     func() Status
	// Ready returns nil when the entry accepts requests.
	Ready    func() error
	EventLog *notice.EventLog
	Explain  *explain.Log
	Metrics  *metric.Set
	Clock    ward.Clock
	Log      logr.Logger
}

// Surface is the handler for operators.
type Surface struct {
	Deps
	handler http.Handler
}

// New returns the handler.
func New(d Deps) *Surface {
	s := &Surface{Deps: d}
	public := httprouter.New()
	public.GET("/healthz", s.health)
	public.GET("/readyz", s.ready)
	protected := httprouter.New()
	protected.POST("/tickets", s.submit)
	protected.GET("/tickets", s.tickets)
	protected.GET("/tickets/:number", s.ticket)
	protected.GET("/moves", s.moves)
	protected.GET("/moves/:name", s.move)
	protected.GET("/events", s.events)
	protected.GET("/config", s.config)
	protected.GET("/status", s.status)
	protected.GET("/explain/:request", s.explain)
	protected.GET("/metrics", s.metrics)
	protected.NotFound = refuseHandler(code.BadCommand, "no such path")
	protected.MethodNotAllowed = refuseHandler(code.BadCommand, "no such method on this path")
	public.NotFound = d.Key.Require(protected)
	public.HandleMethodNotAllowed = false
	s.handler = public
	return s
}

// ServeHTTP serves one request of an operator.
func (s *Surface) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func refuseHandler(c code.Code, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { refusal.Of(c.New("%s", text), "").Write(w) }
}

func (s *Surface) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = io.WriteString(w, "alive\n")
}

func (s *Surface) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := s.Ready(); err != nil {
		refusal.Of(err, "").Write(w)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// submit accepts a ticket, or only checks it in a dry run.
func (s *Surface) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	t, err := s.parse(w, r)
	if err != nil {
		s.refuse(w, "ticket-refused", err)
		return
	}
	if r.URL.Query().Get("dry-run") == "true" {
		result, err := s.Acceptance.DryRun(r.Context(), t)
		s.reply(w, "ticket-checked", result, err)
		return
	}
	result, err := s.Acceptance.Submit(r.Context(), t)
	if err == nil {
		s.EventLog.Record(ward.Event{
			ID: "ticket/" + strconv.FormatUint(t.Number, 10), Kind: ward.EventTicketAccepted, At: result.Accepted,
			Ticket: t.Number, Text: "revision " + strconv.FormatUint(result.Revision, 10),
		})
	}
	s.reply(w, "ticket-submitted", result, err)
}

// parse reads and checks a ticket. The check against the entry's configuration
// reports faults with their lines; Submit repeats it against the configuration
// in the store.
func (s *Surface) parse(w http.ResponseWriter, r *http.Request) (ward.Ticket, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return ward.Ticket{}, code.TicketTooLarge.New("the ticket is larger than %d bytes", document.MaxBytes)
	}
	if err != nil {
		return ward.Ticket{}, code.TicketSyntax.Wrap(err, "read the ticket")
	}
	t, faults := document.Parse(b)
	if len(faults) > 0 {
		return t, document.Error(code.TicketSyntax, faults)
	}
	if cfg := s.Config(); cfg != nil && !isAccepted(cfg, t.Number) {
		faults = document.Check(t, cfg, s.Clock.Now())
	}
	return t, document.Error(code.TicketInvalid, document.Locate(b, faults))
}

// isAccepted reports whether a ticket was accepted before. Such a ticket is not
// checked again, since its deadline may have passed in the meantime.
func isAccepted(cfg *ward.Config, number uint64) bool {
	for _, r := range cfg.Recent {
		if r.Number == number {
			return true
		}
	}
	return false
}

func (s *Surface) tickets(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, err := s.Acceptance.List(r.Context())
	s.reply(w, "tickets-listed", list, err)
}

func (s *Surface) ticket(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	number, err := strconv.ParseUint(p.ByName("number"), 10, 64)
	if err != nil {
		s.refuse(w, "ticket-shown", code.BadCommand.New("%q is not a ticket's number", p.ByName("number")))
		return
	}
	entry, err := s.Acceptance.Show(r.Context(), number)
	s.reply(w, "ticket-shown", entry, err)
}

func (s *Surface) config(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	cfg := s.Config()
	if cfg == nil {
		s.refuse(w, "config-shown", code.NotReady.New("this entry has no configuration yet"))
		return
	}
	s.reply(w, "config-shown", cfg, nil)
}

func (s *Surface) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.reply(w, "status-shown", s.Status(), nil)
}

func (s *Surface) explain(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	hops, ok := s.Explain.Of(p.ByName("request"))
	if !ok {
		s.refuse(w, "request-explained", code.NoSuchRequest.New("request %q is not known here", p.ByName("request")))
		return
	}
	s.reply(w, "request-explained", hops, nil)
}

func (s *Surface) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.Metrics.Write(w)
}

// reply writes v as JSON, or the refusal for err.
func (s *Surface) reply(w http.ResponseWriter, event string, v any, err error) {
	if err != nil {
		s.refuse(w, event, err)
		return
	}
	s.Log.V(1).Info(event)
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		s.Log.V(1).Info("operator-gone", "text", err.Error())
	}
}

func (s *Surface) refuse(w http.ResponseWriter, event string, err error) {
	s.Log.Info(event, "code", code.Of(err).Number, "text", code.Text(err))
	refusal.Of(err, "").Write(w)
}
