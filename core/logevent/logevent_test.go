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

// Guards against a catalogue page that differs from the code.
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

// Guards against a failure storm that fills the log, and against losing count
// of what was suppressed.
func TestStormIsLimited(t *testing.T) {
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

// stopped is a reader of the log that takes nothing until it is released.
type stopped struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stopped) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// A reader of the log that stops must not stop requests.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &stopped{release: make(chan struct{})}
		w := logevent.NewWriter(reader)
		started := time.Now()
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Assert(t, w.Dropped() > 0)
		close(reader.release)
		assert.NilError(t, w.Close())
		assert.Equal(t, int64(strings.Count(reader.String(), "\n")), 5000-w.Dropped())
	})
}

// No failed request may go unexplained at the load of today's hosts (200 a
// second), however many are served beside it.
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
