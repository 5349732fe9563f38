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
