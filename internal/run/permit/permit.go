// Package permit implements the right to send one request to an upstream once.
//
// # Usage
//
//	p := permit.New(r.ID, notAfter)
//	if err := p.Spend(r.ID, now); err != nil {
//		return err // not dispatched
//	}
//	// send the request
//	if errors.Is(err, ward.ErrNotConnected) {
//		p.Return() // no byte was sent: the permit may be spent once more
//	}
package permit

import (
	"errors"
	"sync"
	"time"
)

// Errors of Spend. The request must not be sent.
var (
	ErrSpent   = errors.New("the request was handed over before")
	ErrExpired = errors.New("the permit to hand the request over has expired")
	ErrForeign = errors.New("the permit is for another request")
)

// Permit is the right to send one request to an upstream once. The zero value
// permits nothing. It is safe for concurrent use.
type Permit struct {
	id       string
	notAfter time.Time
	mu       sync.Mutex
	spent    bool
}

// New returns the permit for the request with the id. It expires at notAfter;
// zero means that it does not expire.
func New(id string, notAfter time.Time) *Permit { return &Permit{id: id, notAfter: notAfter} }

// Spend uses up the permit for the request with the id.
func (p *Permit) Spend(id string, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.id == "" || p.id != id:
		return ErrForeign
	case p.spent:
		return ErrSpent
	case !p.notAfter.IsZero() && now.After(p.notAfter):
		return ErrExpired
	}
	p.spent = true
	return nil
}

// Return makes a spent permit valid again. It may be called only when no byte of
// the request can have been sent.
func (p *Permit) Return() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent = false
}
