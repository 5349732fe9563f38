package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"basilmill/core/account"
)

// KeyDigest is the digest of an API key. Keys themselves are not kept. The zero value
// stands for a caller without a key.
type KeyDigest [sha256.Size]byte

// keyDigestPrefix separates digests of API keys from other digests of the same text.
const keyDigestPrefix = "basilmill API key\x00"

// DigestKey returns the digest of an API key, which must not be empty.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(keyDigestPrefix + key)) }

// fingerprintSize is the number of bytes of a digest that logs show. They tell keys apart
// and cannot be used to authenticate.
const fingerprintSize = 4

// Fingerprint returns a short text for logs that tells keys apart.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintSize]) }

// Account is a client account: whose requests they are, and how many are admitted.
type Account struct {
	ID account.ID
	// Keys are the digests of the API keys that identify the account.
	Keys []KeyDigest
	// Rate is the number of operations a second that all hosts together admit, Burst the
	// number that they admit at once after a pause. Both are +Inf if the account has no
	// limit, and 0 if nothing is admitted.
	Rate, Burst float64
}

// Accounts holds the client accounts of a configuration. It must not be modified.
type Accounts struct {
	byID  map[account.ID]Account
	byKey map[KeyDigest]account.ID
}

// NewAccounts returns the accounts. Their ids and keys must be unique.
func NewAccounts(accounts []Account) *Accounts {
	a := &Accounts{byID: map[account.ID]Account{}, byKey: map[KeyDigest]account.ID{}}
	for _, one := range accounts {
		a.byID[one.ID] = one
		for _, key := range one.Keys {
			a.byKey[key] = one.ID
		}
	}
	return a
}

// Account returns an account.
func (a *Accounts) Account(id account.ID) (Account, bool) {
	found, ok := a.byID[id]
	return found, ok
}

// ByKey returns the account that an API key identifies. The comparison of digests reveals
// nothing about keys.
func (a *Accounts) ByKey(key KeyDigest) (account.ID, bool) {
	id, ok := a.byKey[key]
	return id, ok
}

// IDs returns the ids of all accounts in ascending order.
func (a *Accounts) IDs() []account.ID { return slices.Sorted(maps.Keys(a.byID)) }

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.byID) }

// AccountChange is the difference of an account between two configurations. Before or After
// is nil if the account was added or removed.
type AccountChange struct {
	Before, After *Account
}

// ID returns the account's name.
func (c AccountChange) ID() account.ID {
	if c.After != nil {
		return c.After.ID
	}
	return c.Before.ID
}

// Changes returns the accounts that were added, were removed or have other limits in a later
// configuration, ordered by name. Either may be nil, which has no accounts.
func (a *Accounts) Changes(later *Accounts) (changes []AccountChange) {
	before, after := a.all(), later.all()
	for id, one := range after {
		old, ok := before[id]
		switch {
		case !ok:
			changes = append(changes, AccountChange{After: &one})
		case old.Rate != one.Rate || old.Burst != one.Burst:
			changes = append(changes, AccountChange{Before: &old, After: &one})
		}
	}
	for id, old := range before {
		if _, ok := after[id]; !ok {
			changes = append(changes, AccountChange{Before: &old})
		}
	}
	slices.SortFunc(changes, func(x, y AccountChange) int { return cmp.Compare(x.ID(), y.ID()) })
	return changes
}

// all returns the accounts; nil if there are none.
func (a *Accounts) all() map[account.ID]Account {
	if a == nil {
		return nil
	}
	return a.byID
}
