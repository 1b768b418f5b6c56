package record

import (
	"slices"
	"time"
)

// overhead is the most that a record takes in its stored form beside its
// strings, in bytes.
const overhead = 64

// Size returns an upper bound of the stored size in bytes.
func (b *Document) Size() int {
	return overhead + b.RecordBytes() + b.ArchiveBytes()
}

// ArchiveBytes returns the part of Size that the names of archives take.
func (b *Document) ArchiveBytes() int {
	n := 0
	for _, a := range b.Archives {
		n += len(a.ID) + overhead/2
	}
	return n
}

// RecordBytes returns the part of Size that the records take.
func (b *Document) RecordBytes() int {
	n := 0
	for _, r := range b.records {
		n += r.size()
	}
	return n
}

func (r Record) size() int {
	n := overhead + len(r.Key) + len(r.Attempt) + len(r.Body)
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value) + overhead/4
	}
	return n
}

// Expire removes the records that are no longer kept, and returns the archives
// that may be deleted once the book is written.
func (b *Document) Expire(now time.Time) []Archive {
	for k, r := range b.records {
		if b.expired(now, r) {
			delete(b.records, k)
		}
	}
	return b.expireArchives(now)
}

// Compact brings the book under limit bytes, and tells whether it could: it
// drops the answers of the oldest records, never a record.
func (b *Document) Compact(limit int) bool {
	size := b.Size()
	if size <= limit {
		return true
	}
	list := make([]Record, 0, len(b.records))
	for _, r := range b.records {
		if r.Kept {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, older)
	for _, r := range list {
		if size <= limit {
			return true
		}
		size -= r.size()
		r.Kept = false
		r.Body = nil
		r.Header = nil
		size += r.size()
		b.put(r)
	}
	return size <= limit
}
