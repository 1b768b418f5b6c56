package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Archive names a document with older records of the shard. It is written once,
// before the book names it.
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
	if err := msgpack.NewDecoder(bytes.NewReader(b)).Decode(&s); err != nil {
		return nil, errors.Join(ErrFormat, err)
	}
	if s.Format != format {
		return nil, fmt.Errorf("format %d: %w", s.Format, ErrFormat)
	}
	return s.Records, nil
}

// Prefix is the part of the key that an archive's index holds.
func (k Key) Prefix() uint64 {
	var b [8]byte
	copy(b[:], k)
	return binary.BigEndian.Uint64(b[:])
}

// Has tells whether the key is in the book itself.
func (b *Document) Has(k Key) bool {
	_, ok := b.records[k]
	return ok
}

// AddArchived adds a record that was found in an archive.
func (b *Document) AddArchived(r Record) {
	if b.archived == nil {
		b.archived = map[Key]Record{}
	}
	b.archived[r.Key] = r
}

// Oldest returns the oldest records that no longer change, so many that those
// left take at most limit bytes.
func (b *Document) Oldest(now time.Time, limit int) []Record {
	list := make([]Record, 0, len(b.records))
	for _, r := range b.records {
		if r.State != Begun || now.UnixMilli() > r.Until {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, older)
	size := b.RecordBytes()
	for i, r := range list {
		if size <= limit {
			return list[:i]
		}
		size -= r.size()
	}
	return list
}

// MoveToArchive takes the records of an archive out of the book, and tells whether it
// could: each must still be in the book as it was archived. Moving an archive
// again that the book names changes nothing.
func (b *Document) MoveToArchive(a Archive, records []Record) bool {
	if slices.ContainsFunc(b.Archives, func(x Archive) bool { return x.ID == a.ID }) {
		return true
	}
	for _, r := range records {
		if have, ok := b.records[r.Key]; !ok || !reflect.DeepEqual(have, r) {
			return false
		}
	}
	for _, r := range records {
		delete(b.records, r.Key)
		b.AddArchived(r)
	}
	b.Archives = append(b.Archives, a)
	return true
}

// expireArchives takes out and returns the archives that hold nothing that is
// kept.
func (b *Document) expireArchives(now time.Time) []Archive {
	var gone []Archive
	b.Archives = slices.DeleteFunc(b.Archives, func(a Archive) bool {
		old := b.Keep > 0 && now.UnixMilli()-a.Last > b.Keep.Milliseconds()
		if old {
			gone = append(gone, a)
		}
		return old
	})
	return gone
}
