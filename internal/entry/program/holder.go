package program

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"agateward/internal/ticket/acceptance"
	"agateward/ward"

	"github.com/go-logr/logr"
)

type holder struct {
	store   ward.Store
	clock   ward.Clock
	log     logr.Logger
	current atomic.Pointer[ward.Config]
	changed chan struct{}
}

func (h *holder) Current() *ward.Config { return h.current.Load() }

func (h *holder) Run(ctx context.Context) error {
	const pause = 500 * time.Millisecond
	var after uint64
	for ctx.Err() == nil {
		rec, err := h.store.Watch(ctx, acceptance.KeyConfig, after, 10*time.Second)
		if err != nil || rec.Revision <= after {
			_ = h.clock.Sleep(ctx, pause)
			continue
		}
		after = rec.Revision
		var c ward.Config
		if err := json.Unmarshal(rec.Value, &c); err != nil {
			h.log.Error(err, "configuration-unreadable")
			continue
		}
		h.current.Store(&c)
		select {
		case h.changed <- struct{}{}:
		default:
		}
	}
	return nil
}
