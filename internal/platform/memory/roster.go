package memory

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"agateward/ward"
)

// list is the list of instances as it was from one moment on.
type list struct {
	since     time.Time
	instances []ward.Instance
}

// listsKept bounds the old lists that a lagging list can be served from.
const listsKept = 256

// Instances implements ward.Roster. With ListLag it returns the list of that
// long ago, and the first one that was ever set when there is none so old.
func (p *Platform) Instances(ctx context.Context) ([]ward.Instance, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.ListDown {
		return nil, fmt.Errorf("list of instances: %w", ward.ErrUnavailable)
	}
	if len(p.lists) == 0 {
		return nil, nil
	}
	then := p.clock().Now().Add(-p.faults.ListLag.Std())
	found := p.lists[0]
	for _, l := range p.lists[1:] {
		if l.since.After(then) {
			break
		}
		found = l
	}
	return slices.Clone(found.instances), nil
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(instances ...ward.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setInstances(slices.Clone(instances))
}

// PutInstances adds instances to the list, or replaces those of the same name.
func (p *Platform) PutInstances(instances ...ward.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.without(func(old ward.Instance) bool {
		return slices.ContainsFunc(instances, func(x ward.Instance) bool { return x.Name == old.Name })
	})
	p.setInstances(append(next, instances...))
}

// RemoveInstance takes an instance off the list.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setInstances(p.without(func(old ward.Instance) bool { return old.Name == name }))
}

// without needs mu. It returns a copy of the newest list.
func (p *Platform) without(drop func(ward.Instance) bool) []ward.Instance {
	if len(p.lists) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(p.lists[len(p.lists)-1].instances), drop)
}

// setInstances needs mu.
func (p *Platform) setInstances(instances []ward.Instance) {
	slices.SortFunc(instances, func(a, b ward.Instance) int { return strings.Compare(a.Name, b.Name) })
	p.lists = append(p.lists, list{since: p.clock().Now(), instances: instances})
	if len(p.lists) > listsKept {
		p.lists = slices.Delete(p.lists, 0, 1)
	}
}
