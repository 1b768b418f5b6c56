package shard

import (
	"fmt"
	"slices"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/run/record"
	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// target is what the call under way is on.
type target uint8

const (
	onBook target = iota
	onArchive
	onDeletion
)

// archives is what the shard knows of its archives at this entry.
type archives struct {
	// index holds the sorted key prefixes of each archive that was read.
	index map[string][]uint64
	// book is the document that the batch is decided against, found the records
	// of its claims that are in archives, looked the archives read for it.
	book   ward.Record
	found  map[record.Key]record.Record
	looked map[string]bool
	id     string
	// moving is an archive that is written and not yet named by the book.
	moving  *moving
	noMove  bool
	serial  int
	expired []record.Archive
	garbage []record.Archive
}

// revisionsAlike is how many revisions of the book one draw of share lasts.
const revisionsAlike = 64

type moving struct {
	archive record.Archive
	records []record.Record
}

// begin forgets what belonged to the last batch. An archive that is written may
// be named by the next one.
func (a *archives) begin() {
	a.found = map[record.Key]record.Record{}
	a.looked = map[string]bool{}
	a.noMove = false
	if a.moving != nil && a.moving.archive.Revision == 0 {
		a.moving = nil
	}
	if a.index == nil {
		a.index = map[string][]uint64{}
	}
}

// unread returns an archive that must be read to decide on the batch.
func (s *Shard) unread(book *record.Document) (string, bool) {
	for _, c := range s.batch {
		if _, ok := s.archives.found[c.Key]; ok || book.Has(c.Key) {
			continue
		}
		for _, a := range book.Archives {
			index, ok := s.archives.index[a.ID]
			if !ok {
				return a.ID, true
			}
			if _, hit := slices.BinarySearch(index, c.Key.Prefix()); hit && !s.archives.looked[a.ID] {
				return a.ID, true
			}
		}
	}
	return "", false
}

func (s *Shard) readArchive(id string) {
	s.call = Read
	s.target = onArchive
	s.archives.id = id
	s.Stats.Reads++
	s.actions = append(s.actions, Action{Kind: Read, Archive: id})
}

// archiveRead takes an archive. One that is absent has expired since the book
// was read.
func (s *Shard) archiveRead(now time.Time, rec ward.Record) {
	if rec.Revision == 0 {
		s.settleLost(now)
		return
	}
	records, err := record.DecodeArchive(rec.Value)
	if err != nil {
		s.fail(now, code.RecordsDown)
		return
	}
	a := &s.archives
	a.looked[a.id] = true
	a.index[a.id] = prefixes(records)
	for _, r := range records {
		if slices.ContainsFunc(s.batch, func(c claim) bool { return c.Key == r.Key }) {
			a.found[r.Key] = r
		}
	}
	s.apply(now, a.book)
}

func prefixes(records []record.Record) []uint64 {
	index := make([]uint64, 0, len(records))
	for _, r := range records {
		index = append(index, r.Key.Prefix())
	}
	slices.Sort(index)
	return index
}

// archive begins to write an archive where the book has become large, and tells
// whether it did. The more archives there are, the larger the next ones become:
// their names would otherwise outgrow the records. Once that is written it is taken out of the book.
func (s *Shard) archive(now time.Time, book *record.Document) bool {
	a := &s.archives
	if a.moving != nil {
		if !book.MoveToArchive(a.moving.archive, a.moving.records) {
			a.moving = nil
			a.noMove = true
		}
		return false
	}
	hot := max(either(s.Limits.ArchiveThreshold, DefaultArchiveThreshold), book.ArchiveBytes())
	if a.noMove || book.RecordBytes() <= hot+s.share(hot) {
		return false
	}
	records := book.Oldest(now, hot/4)
	value, err := record.EncodeArchive(records)
	if len(records) == 0 || err != nil {
		return false
	}
	a.serial++
	last := records[len(records)-1].Begun
	a.moving = &moving{record.Archive{ID: fmt.Sprintf("%s-%d", s.Name, a.serial), Last: last}, records}
	s.call = Write
	s.target = onArchive
	s.Stats.Writes++
	s.actions = append(s.actions, Action{Kind: Write, Archive: a.moving.archive.ID, Value: value})
	return true
}

// share spreads the sizes at which entries begin an archive over hot, anew for
// each archive, so that they do not all write the same one.
func (s *Shard) share(hot int) int {
	h := xxhash.Sum64String(fmt.Sprint(s.Name, s.archives.book.Revision/revisionsAlike))
	return int(h % uint64(hot))
}

// archiveWritten takes the end of an archive's write. A failure only means that
// the book stays larger for now.
func (s *Shard) archiveWritten(now time.Time, r Result) {
	a := &s.archives
	if r.Err == nil {
		a.moving.archive.Revision = r.Record.Revision
	} else {
		a.moving = nil
		a.noMove = true
	}
	s.apply(now, a.book)
}

// moved notes that the book that names the archive is in the store.
func (s *Shard) moved() {
	a := &s.archives
	if a.moving != nil {
		a.index[a.moving.archive.ID] = prefixes(a.moving.records)
		a.moving = nil
		s.Stats.Archived++
	}
	for _, x := range a.expired {
		delete(a.index, x.ID)
	}
	a.garbage = append(a.garbage, a.expired...)
	a.expired = nil
}

// deleteOne deletes an archive that the book no longer names. What is not
// deleted is only left over.
func (s *Shard) deleteOne() {
	a := &s.archives
	if len(a.garbage) == 0 {
		return
	}
	x := a.garbage[0]
	a.garbage = a.garbage[1:]
	s.call = Write
	s.target = onDeletion
	s.Stats.Writes++
	s.actions = append(s.actions, Action{Kind: Write, Archive: x.ID, Revision: x.Revision})
}
