package membership_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/membership"
)

// A host whose entry the platform has lost must register again, but not because a list
// is some seconds old.
func TestHostRegistersAgainWhenItIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var registrations atomic.Int64
		var working atomic.Bool
		r := membership.Registration{Register: func(context.Context) error {
			if !working.Load() {
				return errors.New("no answer")
			}
			registrations.Add(1)
			return nil
		}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(10 * time.Second)
		r.NoteListed(false)
		assert.Equal(t, registrations.Load(), int64(0))
		working.Store(true)
		time.Sleep(10 * time.Second)
		assert.Equal(t, registrations.Load(), int64(1))
		for range 20 {
			time.Sleep(time.Second)
			r.NoteListed(true)
		}
		assert.Equal(t, registrations.Load(), int64(1))
		for range 9 {
			r.NoteListed(false)
			time.Sleep(time.Second)
		}
		assert.Equal(t, registrations.Load(), int64(2))
		time.Sleep(2 * time.Second)
		r.NoteListed(false)
		synctest.Wait()
		assert.Equal(t, registrations.Load(), int64(3))
		cancel()
		assert.NilError(t, <-done)
	})
}
