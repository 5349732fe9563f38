package takeover

import "basilmill/core/distribution"

// Epoch is the number of an attempt to change the primary of a group. It rises
// with each attempt and serves the platform as a fencing token. Its high bits hold the
// era of the store in which the attempt was claimed, so that it also rises when the
// store has lost the attempts before.
type Epoch int64

// epochCountBits is the number of low bits of an Epoch that count the attempts of an
// era. An Epoch stays below 2^48, so that every decoder of JSON numbers keeps it exact.
const epochCountBits = 32

// Era returns the era of the store in which the attempt was claimed.
func (e Epoch) Era() distribution.Era { return distribution.Era(e >> epochCountBits) }

// next returns the epoch of the next attempt.
func (e Epoch) next(era distribution.Era) Epoch {
	return max(e, Epoch(era)<<epochCountBits) + 1
}
