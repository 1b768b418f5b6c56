package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"
)

// Archive refers to an archive: a document of the store with older records of the
// shard. It is written once, before the shard's document refers to it.
type Archive struct {
	ID       string
	Revision uint64
	// Last is when its youngest record was begun, in Unix milliseconds.
	Last int64
}

// EncodeArchive returns the stored form of an archive's records.
func EncodeArchive(records []Record) ([]byte, error) {
	return encode(&stored{Format: format, Records: records})
}

// DecodeArchive reads an archive's records.
func DecodeArchive(b []byte) ([]Record, error) {
	var s stored
	if err := bounds.Decode(b, &s); err != nil {
		return nil, errors.Join(ErrFormat, err)
	}
	if s.Format != format {
		return nil, fmt.Errorf("format %d: %w", s.Format, ErrFormat)
	}
	return s.Records, nil
}

// Prefix returns the part of the key that the index of an archive holds.
func (k Key) Prefix() uint64 {
	var b [8]byte
	copy(b[:], k)
	return binary.BigEndian.Uint64(b[:])
}

// Has reports whether the key is in the document itself.
func (d *Document) Has(k Key) bool {
	_, ok := d.records[k]
	return ok
}

// AddArchived adds a record that was found in an archive.
func (d *Document) AddArchived(r Record) {
	if d.archived == nil {
		d.archived = map[Key]Record{}
	}
	d.archived[r.Key] = r
}

// Oldest returns the oldest records that no longer change, so many that the rest
// takes at most limit bytes.
func (d *Document) Oldest(now time.Time, limit int) []Record {
	list := make([]Record, 0, len(d.records))
	for _, r := range d.records {
		if r.State != Begun || now.UnixMilli() > r.Until {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareAge)
	size := d.RecordBytes()
	for i, r := range list {
		if size <= limit {
			return list[:i]
		}
		size -= r.size()
	}
	return list
}

// MoveToArchive removes the records of an archive from the document and adds the
// reference to the archive. It reports whether it could: each record must still be
// in the document as it was archived. A second call for the same archive changes
// nothing.
func (d *Document) MoveToArchive(a Archive, records []Record) bool {
	if slices.ContainsFunc(d.Archives, func(x Archive) bool { return x.ID == a.ID }) {
		return true
	}
	for _, r := range records {
		if have, ok := d.records[r.Key]; !ok || !reflect.DeepEqual(have, r) {
			return false
		}
	}
	for _, r := range records {
		delete(d.records, r.Key)
		d.AddArchived(r)
	}
	d.Archives = append(d.Archives, a)
	return true
}

// expireArchives removes and returns the archives whose records have all expired.
func (d *Document) expireArchives(now time.Time) []Archive {
	var gone []Archive
	d.Archives = slices.DeleteFunc(d.Archives, func(a Archive) bool {
		old := d.Keep > 0 && now.UnixMilli()-a.Last > d.Keep.Milliseconds()
		if old {
			gone = append(gone, a)
		}
		return old
	})
	return gone
}
