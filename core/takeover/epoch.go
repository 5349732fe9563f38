package takeover

import (
	"github.com/rotisserie/eris"

	"basilmill/core/distribution"
)

// Epoch is a number that an attempt to change the primary of a group has claimed. It
// rises with each call to the platform, which it serves as a fencing token. Its high bits
// hold the era of the store in which the attempt was claimed, so that it also rises when
// the store has lost the attempts before. An attempt claims several, and its record holds
// the last one.
type Epoch int64

const (
	// epochCountBits is the number of low bits of an Epoch that count the epochs of an
	// era. An Epoch stays below 2^48, so that every decoder of JSON numbers keeps it exact.
	epochCountBits = 32
	// epochsPerClaim is the number of epochs that a claim takes. Each call to the platform
	// has one of its own, so that an answer to it shows that the calls before it are over.
	epochsPerClaim = 16
)

// Era returns the era of the store in which the attempt was claimed.
func (e Epoch) Era() distribution.Era { return distribution.Era(e >> epochCountBits) }

// next returns the last epoch of the next attempt.
func (e Epoch) next(era distribution.Era) Epoch {
	return max(e, Epoch(era)<<epochCountBits) + epochsPerClaim
}

// nextEpoch returns an epoch for a call to the platform, higher than those of the calls
// before it.
func (a *attempt) nextEpoch() (Epoch, error) {
	if a.calls >= epochsPerClaim {
		return 0, eris.New("the attempt has used all its epochs")
	}
	a.calls++
	return a.record.Epoch - epochsPerClaim + a.calls, nil
}
