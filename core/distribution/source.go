package distribution

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is returned by a watch after a version whose later changes are no
// longer known. The list must be read again.
var ErrHistoryGone = errors.New("the store no longer has this history")

// Source reads the objects of one kind: from the platform's store, or from a host
// that reads them there.
type Source interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind Kind) (Update, error)
	// Watch returns the objects that changed after a version. It waits up to the
	// given time for the first one.
	Watch(ctx context.Context, kind Kind, after Version, wait time.Duration) (Update, error)
}
