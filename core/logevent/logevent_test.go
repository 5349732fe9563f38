package logevent_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/logevent"
)

// Guards against a documentation page that differs from the catalogue.
func TestCataloguePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/log-events.md")
	assert.NilError(t, err)
	var want strings.Builder
	for _, e := range logevent.Catalogue() {
		fmt.Fprintf(&want, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Message, e.Action)
	}
	_, table, found := strings.Cut(string(page), "|---|---|---|---|---|\n")
	assert.Assert(t, found, "the page has no table")
	assert.Equal(t, table, want.String())
}

// Guards against many failures at once that fill the log, and against a wrong
// count of suppressed events.
func TestEventRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := &logevent.Logger{Log: slog.New(slog.NewTextHandler(&out, nil))}
		for range 1000 {
			log.Write(t.Context(), logevent.ConnectionLost)
		}
		assert.Assert(t, strings.Count(out.String(), "\n") <= 20)
		time.Sleep(time.Second)
		out.Reset()
		log.Write(t.Context(), logevent.ConnectionLost)
		assert.Assert(t, strings.Contains(out.String(), "Suppressed=980"), out.String())
	})
}

// blockedWriter is a log destination that blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against requests that block because the log destination blocks.
func TestBlockedLogDoesNotBlockRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := &blockedWriter{release: make(chan struct{})}
		w := logevent.NewWriter(blocked)
		started := time.Now()
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Assert(t, w.Dropped() > 0)
		close(blocked.release)
		assert.NilError(t, w.Close())
		assert.Equal(t, int64(strings.Count(blocked.String(), "\n")), 5000-w.Dropped())
	})
}

// Guards against failed requests that are not logged at the load of current hosts
// (200 a second), however many other requests are served at the same time.
func TestFailedRequestsAreNotSampled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := &logevent.Logger{Log: slog.New(slog.NewTextHandler(&out, nil))}
		for range 5 {
			for range 200 {
				log.Write(t.Context(), logevent.RequestNotRun)
				log.Write(t.Context(), logevent.RequestServed)
			}
			time.Sleep(time.Second)
		}
		assert.Equal(t, strings.Count(out.String(), "Name=RequestNotRun"), 1000)
		assert.Assert(t, strings.Count(out.String(), "Name=RequestServed") < 400)
	})
}
