package memory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"agateward/internal/platform/family"
	"agateward/ward"

	"github.com/sourcegraph/conc"
)

// Get implements ward.Store.
func (p *Platform) Get(ctx context.Context, key string) (ward.Record, error) {
	faults, err := p.begin(ctx, family.Of(key), family.Read)
	if err != nil {
		return ward.Record{}, err
	}
	rec := p.read(key)
	return rec, p.end(ctx, faults, family.Read)
}

// CompareAndSwap implements ward.Store. Revisions grow across all keys, so that a
// key that is deleted and created again never has an old one.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (ward.Record, error) {
	if len(value) > MaxValueBytes {
		return ward.Record{}, fmt.Errorf("value of %q has %d bytes, the store holds %d: %w", key, len(value), MaxValueBytes, ward.ErrUnavailable)
	}
	faults, err := p.begin(ctx, family.Of(key), family.Write)
	if err != nil {
		return ward.Record{}, err
	}
	rec, conflict := p.swap(key, revision, value)
	if err := p.end(ctx, faults, family.Write); err != nil {
		return ward.Record{}, err
	}
	return rec, conflict
}

// Watch implements ward.Store.
func (p *Platform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (ward.Record, error) {
	faults, err := p.begin(ctx, family.Of(key), family.Read)
	if err != nil {
		return ward.Record{}, err
	}
	rec, err := p.await(ctx, key, after, wait)
	if err != nil {
		return ward.Record{}, noAnswerError(family.Read, err)
	}
	if now := p.Faults(); now.Down || now.Hang {
		return ward.Record{}, fmt.Errorf("platform stand-in went down: %w", ward.ErrUnavailable)
	}
	if err := p.sleep(ctx, faults.WatchLag.Std()); err != nil {
		return ward.Record{}, noAnswerError(family.Read, err)
	}
	return rec, p.end(ctx, faults, family.Read)
}

// await returns the record of key when its revision is above after, or when wait
// has passed.
func (p *Platform) await(ctx context.Context, key string, after uint64, wait time.Duration) (ward.Record, error) {
	timer, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() {
		_ = p.clock().Sleep(timer, wait)
		stop()
	})
	for {
		rec, changed := p.readAndSubscribe(key)
		if rec.Revision > after {
			return rec, nil
		}
		select {
		case <-changed:
		case <-timer.Done():
			return rec, ctx.Err()
		}
	}
}

func (p *Platform) read(key string) ward.Record {
	rec, _ := p.readAndSubscribe(key)
	return rec
}

func (p *Platform) readAndSubscribe(key string) (ward.Record, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.records[key]
	rec.Key = key
	rec.Value = slices.Clone(rec.Value)
	if p.changed == nil {
		p.changed = map[string]chan struct{}{}
	}
	if p.changed[key] == nil {
		p.changed[key] = make(chan struct{})
	}
	return rec, p.changed[key]
}

func (p *Platform) swap(key string, revision uint64, value []byte) (ward.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.records[key]
	old.Key = key
	if old.Revision != revision {
		old.Value = slices.Clone(old.Value)
		return old, fmt.Errorf("key %q has revision %d, not %d: %w", key, old.Revision, revision, ward.ErrConflict)
	}
	rec := p.write(key, value)
	if ch := p.changed[key]; ch != nil {
		close(ch)
		delete(p.changed, key)
	}
	return rec, nil
}

// write stores a value, or deletes the key when the value is nil. The caller
// holds mu.
func (p *Platform) write(key string, value []byte) ward.Record {
	if value == nil {
		delete(p.records, key)
		return ward.Record{Key: key}
	}
	if p.records == nil {
		p.records = map[string]ward.Record{}
	}
	p.revision++
	rec := ward.Record{Key: key, Value: slices.Clone(value), Revision: p.stamp(p.revision)}
	p.records[key] = rec
	rec.Value = slices.Clone(value)
	return rec
}
