package distribution

import (
	"github.com/rotisserie/eris"
)

// Version orders the changes of the platform's store: by era, and within an era by the
// store's revision. Zero stands for no version.
type Version int64

// revisionBits is the number of low bits of a Version that hold the revision. They last
// for 280 trillion changes in each of 32,768 eras.
const revisionBits = 48

// NewVersion returns the version of a revision of the store. It returns an error if one
// of the numbers is negative or too large to be compared with others.
func NewVersion(era Era, revision int64) (Version, error) {
	const maxEra, maxRevision = 1<<(63-revisionBits) - 1, 1<<revisionBits - 1
	if era < 0 || era > maxEra || revision < 0 || revision > maxRevision {
		return 0, eris.Errorf("revision %d of era %d is out of range", revision, era)
	}
	return Version(int64(era)<<revisionBits | revision), nil
}

// Era returns the era of the store to which the version belongs.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision of the store within the era.
func (v Version) Revision() int64 { return int64(v) & (1<<revisionBits - 1) }
