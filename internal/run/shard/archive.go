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

// target is the object of the call in progress.
type target uint8

const (
	targetDocument target = iota
	targetArchive
	targetDeletion
)

// archives is what this entry knows of the shard's archives.
type archives struct {
	// index holds the sorted key prefixes of each archive that was read.
	index map[string][]uint64
	// document is the document that the batch is decided against, found the records
	// of its claims that are in archives, read the archives read for it, and
	// reading the one that is being read.
	document ward.Record
	found    map[record.Key]record.Record
	read     map[string]bool
	reading  string
	// pending is an archive that is being written, or that the shard's document does
	// not refer to yet.
	pending       *pendingArchive
	skipArchiving bool
	serial        int
	expired       []record.Archive
	garbage       []record.Archive
}

// jitterRevisions is the number of revisions of the document that one value of
// archiveJitter lasts.
const jitterRevisions = 64

type pendingArchive struct {
	archive record.Archive
	records []record.Record
}

// reset drops the state of the last batch. A written archive that the document
// does not refer to yet is kept for the next batch.
func (a *archives) reset() {
	a.found = map[record.Key]record.Record{}
	a.read = map[string]bool{}
	a.skipArchiving = false
	if a.pending != nil && a.pending.archive.Revision == 0 {
		a.pending = nil
	}
	if a.index == nil {
		a.index = map[string][]uint64{}
	}
}

// unreadArchive returns an archive that must be read to decide on the batch.
func (s *Shard) unreadArchive(doc *record.Document) (string, bool) {
	for _, c := range s.batch {
		if _, ok := s.archives.found[c.Key]; ok || doc.Has(c.Key) {
			continue
		}
		for _, a := range doc.Archives {
			index, ok := s.archives.index[a.ID]
			if !ok {
				return a.ID, true
			}
			if _, hit := slices.BinarySearch(index, c.Key.Prefix()); hit && !s.archives.read[a.ID] {
				return a.ID, true
			}
		}
	}
	return "", false
}

func (s *Shard) readArchive(id string) {
	s.call = Read
	s.target = targetArchive
	s.archives.reading = id
	s.Stats.Reads++
	s.actions = append(s.actions, Action{Kind: Read, Archive: id})
}

// archiveRead handles an archive that was read. An absent one has expired since
// the document was read.
func (s *Shard) archiveRead(now time.Time, rec ward.Record) {
	if rec.Revision == 0 {
		s.resolveLost(now)
		return
	}
	records, err := record.DecodeArchive(rec.Value)
	if err != nil {
		s.fail(now, code.RecordsDown)
		return
	}
	a := &s.archives
	a.read[a.reading] = true
	a.index[a.reading] = prefixes(records)
	for _, r := range records {
		if slices.ContainsFunc(s.batch, func(c claim) bool { return c.Key == r.Key }) {
			a.found[r.Key] = r
		}
	}
	s.apply(now, a.document)
}

func prefixes(records []record.Record) []uint64 {
	index := make([]uint64, 0, len(records))
	for _, r := range records {
		index = append(index, r.Key.Prefix())
	}
	slices.Sort(index)
	return index
}

// archive begins to write an archive when the document has become large, and
// reports whether it did. Once the archive is written, its records are removed from
// the document. The more archives there are, the larger the next ones become:
// otherwise the references to them would outgrow the records.
func (s *Shard) archive(now time.Time, doc *record.Document) bool {
	a := &s.archives
	if a.pending != nil {
		if !doc.MoveToArchive(a.pending.archive, a.pending.records) {
			a.pending = nil
			a.skipArchiving = true
		}
		return false
	}
	threshold := max(orDefault(s.Limits.ArchiveThreshold, DefaultArchiveThreshold), doc.ArchiveBytes())
	if a.skipArchiving || doc.RecordBytes() <= threshold+s.archiveJitter(threshold) {
		return false
	}
	records := doc.Oldest(now, threshold/4)
	value, err := record.EncodeArchive(records)
	if len(records) == 0 || err != nil {
		return false
	}
	a.serial++
	last := records[len(records)-1].Begun
	a.pending = &pendingArchive{record.Archive{ID: fmt.Sprintf("%s-%d", s.Name, a.serial), Last: last}, records}
	s.call = Write
	s.target = targetArchive
	s.Stats.Writes++
	s.actions = append(s.actions, Action{Kind: Write, Archive: a.pending.archive.ID, Value: value})
	return true
}

// archiveJitter spreads the sizes at which entries begin an archive over the
// threshold, with a new value after each jitterRevisions revisions, so that they
// do not all write the same archive.
func (s *Shard) archiveJitter(threshold int) int {
	h := xxhash.Sum64String(fmt.Sprint(s.Name, s.archives.document.Revision/jitterRevisions))
	return int(h % uint64(threshold))
}

// archiveWritten handles the result of an archive's write. A failure only means
// that the document stays larger for now.
func (s *Shard) archiveWritten(now time.Time, r Result) {
	a := &s.archives
	if r.Err == nil {
		a.pending.archive.Revision = r.Record.Revision
	} else {
		a.pending = nil
		a.skipArchiving = true
	}
	s.apply(now, a.document)
}

// documentWritten notes that the document that refers to the archive is in the
// store.
func (s *Shard) documentWritten() {
	a := &s.archives
	if a.pending != nil {
		a.index[a.pending.archive.ID] = prefixes(a.pending.records)
		a.pending = nil
		s.Stats.Archived++
	}
	for _, x := range a.expired {
		delete(a.index, x.ID)
	}
	a.garbage = append(a.garbage, a.expired...)
	a.expired = nil
}

// deleteGarbage deletes one archive that the document no longer refers to. An
// archive that can't be deleted only takes up space.
func (s *Shard) deleteGarbage() {
	a := &s.archives
	if len(a.garbage) == 0 {
		return
	}
	x := a.garbage[0]
	a.garbage = a.garbage[1:]
	s.call = Write
	s.target = targetDeletion
	s.Stats.Writes++
	s.actions = append(s.actions, Action{Kind: Write, Archive: x.ID, Revision: x.Revision})
}
