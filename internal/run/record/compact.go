package record

import (
	"slices"
	"time"
)

// recordOverhead is the most bytes that the stored form of a record takes beside
// its strings.
const recordOverhead = 64

// Size returns an upper bound of the stored size in bytes.
func (d *Document) Size() int {
	return recordOverhead + d.RecordBytes() + d.ArchiveBytes()
}

// ArchiveBytes returns the part of Size that the references to archives take.
func (d *Document) ArchiveBytes() int {
	n := 0
	for _, a := range d.Archives {
		n += len(a.ID) + recordOverhead/2
	}
	return n
}

// RecordBytes returns the part of Size that the records take.
func (d *Document) RecordBytes() int {
	n := 0
	for _, r := range d.records {
		n += r.size()
	}
	return n
}

func (r Record) size() int {
	n := recordOverhead + len(r.Key) + len(r.Attempt) + len(r.Body)
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value) + recordOverhead/4
	}
	return n
}

// Expire removes the expired records, and returns the archives that may be deleted
// once the document is written.
func (d *Document) Expire(now time.Time) []Archive {
	for k, r := range d.records {
		if d.expired(now, r) {
			delete(d.records, k)
		}
	}
	return d.expireArchives(now)
}

// Compact shrinks the document to at most limit bytes, and reports whether it
// could. It drops the answers of the oldest records, never a record.
func (d *Document) Compact(limit int) bool {
	size := d.Size()
	if size <= limit {
		return true
	}
	list := make([]Record, 0, len(d.records))
	for _, r := range d.records {
		if r.Kept {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareAge)
	for _, r := range list {
		if size <= limit {
			return true
		}
		size -= r.size()
		r.Kept = false
		r.Body = nil
		r.Header = nil
		size += r.size()
		d.put(r)
	}
	return size <= limit
}
