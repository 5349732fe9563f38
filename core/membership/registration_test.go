package membership_test

import (
	"context"
	"errors"
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
		registrations, failing := 0, true
		r := membership.Registration{Register: func(context.Context) error {
			if failing {
				return errors.New("no answer")
			}
			registrations++
			return nil
		}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(10 * time.Second)
		r.NoteListed(false)
		assert.Equal(t, registrations, 0)
		failing = false
		time.Sleep(10 * time.Second)
		assert.Equal(t, registrations, 1)
		for range 20 {
			time.Sleep(time.Second)
			r.NoteListed(true)
		}
		assert.Equal(t, registrations, 1)
		for range 9 {
			r.NoteListed(false)
			time.Sleep(time.Second)
		}
		assert.Equal(t, registrations, 2)
		time.Sleep(2 * time.Second)
		r.NoteListed(false)
		synctest.Wait()
		assert.Equal(t, registrations, 3)
		cancel()
		assert.NilError(t, <-done)
	})
}
