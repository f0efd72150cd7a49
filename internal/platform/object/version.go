package object

// eraShift separates the era of a version from its revision: 2^40 writes are enough for any store.
const eraShift = 40

// Version is a place in the store's history: a revision within an era, 0 for an object that does not exist.
//
// A store that comes back from an older copy starts a new era and gives revisions out again, so a revision alone names no
// content. Versions are ordered by era first: what a later era has is newer, whatever was written before.
type Version uint64

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision uint64) Version { return Version(era<<eraShift | revision) }

// Era returns the number of times that the store has come back from an older copy, 0 if it does not tell.
func (v Version) Era() uint64 { return uint64(v) >> eraShift }

// Revision returns the store's own number of the version, which is unique within its era only.
func (v Version) Revision() uint64 { return uint64(v) & (1<<eraShift - 1) }
