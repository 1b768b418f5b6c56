package ward

import "strconv"

// EraBits is the number of bits of a revision that hold the store's era.
const EraBits = 20

const revisionBits = 64 - EraBits

// StampRevision returns the revision of a store in one of its eras as one number, so
// that a later era orders before the revision. A store that returns from an older
// copy gives revisions out again; two changes with the same revision of different
// eras have nothing in common.
func StampRevision(era, revision uint64) uint64 {
	return era<<revisionBits | revision&(1<<revisionBits-1)
}

// RevisionText returns a stamped revision as ERA/REVISION for logs, or as the
// revision alone if the store states no era.
func RevisionText(stamped uint64) string {
	era, revision := SplitRevision(stamped)
	if era == 0 {
		return strconv.FormatUint(revision, 10)
	}
	return strconv.FormatUint(era, 10) + "/" + strconv.FormatUint(revision, 10)
}

// SplitRevision returns the era and the store's own revision of a stamped revision.
func SplitRevision(stamped uint64) (era, revision uint64) {
	return stamped >> revisionBits, stamped & (1<<revisionBits - 1)
}

// LaterEra reports whether stamped revision a is of a later era of the store than b.
func LaterEra(a, b uint64) bool {
	return a>>revisionBits > b>>revisionBits
}
