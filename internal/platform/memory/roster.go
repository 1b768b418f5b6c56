package memory

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"agateward/ward"
)

// listVersion is the list of instances from one point in time on.
type listVersion struct {
	since     time.Time
	instances []ward.Instance
}

// maxLists is the number of versions kept for ListLag.
const maxLists = 256

// Instances implements ward.Roster. With ListLag it returns the list of that
// long ago, or the oldest that is kept.
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
	cutoff := p.clock().Now().Add(-p.faults.ListLag.Std())
	found := p.lists[0]
	for _, l := range p.lists[1:] {
		if l.since.After(cutoff) {
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

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setInstances(p.without(func(old ward.Instance) bool { return old.Name == name }))
}

// without returns a copy of the newest list without the instances that drop
// matches. The caller holds mu.
func (p *Platform) without(drop func(ward.Instance) bool) []ward.Instance {
	if len(p.lists) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(p.lists[len(p.lists)-1].instances), drop)
}

// setInstances adds a version of the list, sorted by name. The caller holds mu.
func (p *Platform) setInstances(instances []ward.Instance) {
	slices.SortFunc(instances, func(a, b ward.Instance) int { return strings.Compare(a.Name, b.Name) })
	p.lists = append(p.lists, listVersion{since: p.clock().Now(), instances: instances})
	if len(p.lists) > maxLists {
		p.lists = slices.Delete(p.lists, 0, 1)
	}
}
