package memory

import (
	"maps"

	"agateward/ward"
)

// Copy is a copy of the records and leases of a platform.
type Copy struct {
	revision uint64
	records  map[string]ward.Record
	leases   map[string]ward.Lease
}

// Copy returns a copy of the records and leases as they are now.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{revision: p.revision, records: maps.Clone(p.records), leases: maps.Clone(p.leases)}
}

// Restore replaces the records and leases by a copy: what was written since is gone,
// and its revisions and fencing numbers are given out again. The era rises by one; all
// revisions and fencing numbers are stamped with it (ward.StampRevision).
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision = c.revision
	p.records = make(map[string]ward.Record, len(c.records))
	for key, r := range c.records {
		r.Revision = p.stamp(r.Revision)
		p.records[key] = r
	}
	p.leases = make(map[string]ward.Lease, len(c.leases))
	for name, l := range c.leases {
		l.Fence = p.stamp(l.Fence)
		p.leases[name] = l
	}
	for key, ch := range p.changed {
		close(ch)
		delete(p.changed, key)
	}
}

// Era returns the number of times that the platform was restored from a copy.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// stamp returns a revision or fencing number of any era as one of the present era. The
// caller holds mu.
func (p *Platform) stamp(n uint64) uint64 {
	_, own := ward.SplitRevision(n)
	return ward.StampRevision(p.era, own)
}
