package takeover

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

// Inspector tells from the records in the platform's store whether attempts are in
// progress. It is safe for concurrent use.
type Inspector struct {
	Records RecordStore
	// Eras, if set, tracks the era of the store.
	Eras *distribution.Eras
	// NewUpdateID, if set, returns a new unique Record.UpdateID. The inspector then closes
	// attempts whose host does not go on with them.
	NewUpdateID func() string

	mu         sync.Mutex
	unfinished map[group.ID]unfinishedAttempt
}

// unfinishedAttempt is the record of an attempt that has not ended, and since when this host
// knows it.
type unfinishedAttempt struct {
	version distribution.Version
	seenAt  time.Time
}

// InProgress reports whether an attempt that was claimed before the call may still change
// the primary of a group. It also does so for some time after the store was restored and
// may have lost the record of one. The term is that to which the last attempt led.
func (i *Inspector) InProgress(ctx context.Context, id group.ID) (inProgress bool, term group.Term, err error) {
	defer func() { err = eris.Wrapf(err, "inspect the record of %s", id) }()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	record, err := i.Records.Load(ctx, id)
	if err != nil {
		return true, 0, err
	}
	term = record.CandidateTerm
	if mayHaveLostPromotion(i.Eras, record) {
		return true, term, nil
	}
	if record.Epoch == 0 || record.Ended {
		return false, term, nil
	}
	if i.isAbandoned(id, record) {
		return true, term, i.close(ctx, id, record)
	}
	return true, term, nil
}

// isAbandoned reports whether an attempt that has ordered nothing has been left alone for
// longer than its lease.
func (i *Inspector) isAbandoned(id group.ID, record Record) bool {
	if i.NewUpdateID == nil || record.PromotionPending {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.unfinished == nil {
		i.unfinished = map[group.ID]unfinishedAttempt{}
	}
	if i.unfinished[id].version != record.Version {
		i.unfinished[id] = unfinishedAttempt{record.Version, time.Now()}
	}
	return time.Since(i.unfinished[id].seenAt) >= LeaseTTL
}

// close records that an attempt has ended. A host that goes on with it after all can't order
// a promotion, because it has to update the record before.
func (i *Inspector) close(ctx context.Context, id group.ID, record Record) error {
	record.UpdateID = i.NewUpdateID()
	record.Updates++
	record.Ended = true
	_, err := i.Records.Store(ctx, id, record)
	return eris.Wrap(err, "close an abandoned attempt")
}
