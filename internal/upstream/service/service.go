// Package service is the HTTP client for plain services, such as bookings and
// build orders. A service echoes the header field Agateward-Request.
//
// # Usage
//
//	var s service.Service
//	a, err := s.Dispatch(ctx, upstream, request, 0)
//	if err != nil {
//		return err
//	}
//	defer a.Close()
//
// Service implements ward.Backend. Only the relay may call Dispatch.
package service

import (
	"context"
	"errors"
	"net/http"

	"agateward/internal/result/code"
	"agateward/internal/upstream/answer"
	"agateward/internal/upstream/engine"
	"agateward/internal/upstream/transport"
	"agateward/ward"
)

// Service is a client for plain services. Its zero value is ready to use.
type Service struct {
	Transport transport.Transport
	Limits    answer.Limits
}

// Dispatch sends r to the service. Answers of services can't be resumed.
func (s *Service) Dispatch(ctx context.Context, u ward.Upstream, r *ward.Request, resume int) (ward.Answer, error) {
	if resume != 0 {
		return nil, code.AnswerCut.Wrap(errors.ErrUnsupported, "resume at a plain service")
	}
	c := transport.Call{Address: u.Address, ID: r.ID, Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body}
	c.Resume = transport.NoResume
	c.IdempotencyKey = r.IdempotencyKey
	c.Route = r.Route
	c.Version = u.Version
	reply, err := s.Transport.Send(ctx, c)
	if err != nil {
		return nil, err
	}
	return &answer.Answer{Reply: reply, Limits: s.Limits}, nil
}

// Report reads the service's load report. It fails with errors.ErrUnsupported if
// the service has none.
func (s *Service) Report(ctx context.Context, u ward.Upstream) (ward.LoadReport, error) {
	var l ward.LoadReport
	c := transport.Call{Address: u.Address, ID: "control", Method: http.MethodGet, Path: engine.LoadPath}
	status, err := s.Transport.Control(ctx, c, nil, &l)
	if err != nil {
		return l, err
	}
	if status == http.StatusNotFound {
		return l, errors.ErrUnsupported
	}
	if status != http.StatusOK {
		return l, code.UpstreamFailed.New("load report of %s: status %d", u.Name, status)
	}
	l.Upstream = u.Name
	return l, nil
}

// CacheEvents returns none: services have no prefix cache.
func (s *Service) CacheEvents(context.Context, ward.Upstream, uint64) ([]ward.CacheEvent, error) {
	return nil, nil
}

// Order fails: services take no orders.
func (s *Service) Order(context.Context, ward.Upstream, ward.Order) error {
	return errors.ErrUnsupported
}

var (
	_ ward.Backend = (*Service)(nil)
	_ ward.Backend = (*engine.Engine)(nil)
)
