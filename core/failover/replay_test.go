package failover_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against wrong decisions in the cases of section 8 of the design page.
// Every trace under testdata must lead to its stated outcome, with every
// acknowledged write in the log of the final primary.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			var got string
			synctest.Test(t, func(t *testing.T) { got = replay(t, string(archive.Files[0].Data)) })
			if golden.FlagUpdate() {
				archive.Files[1].Data = []byte(got)
				assert.NilError(t, os.WriteFile(file, txtar.Format(archive), 0o600))
			}
			assert.Equal(t, string(archive.Files[1].Data), got)
		})
	}
}

func replay(t *testing.T, trace string) string {
	sim := newSimulation(4*time.Millisecond, 1)
	start := time.Now()
	for line := range strings.Lines(trace) {
		f := strings.Fields(line)
		at, err := time.ParseDuration(f[0])
		assert.NilError(t, err)
		if at > 0 && !sim.started {
			sim.start()
		}
		sim.run(time.Until(start.Add(at)))
		if f[1] != "end" {
			sim.runCommand(f[1:])
		}
	}
	sim.checkAllWrites()
	assert.NilError(t, sim.violation)
	sim.logf("writes at the end: %s", map[bool]string{true: "confirmed", false: "not confirmed"}[time.Since(sim.ackedAt) < time.Second])
	r := sim.record()
	sim.logf("final record: term=%d generation=%d primary=%s successor=%s candidate=%s", r.Term, r.Generation, r.Primary, r.Successor, r.Candidate)
	return strings.Join(sim.log, "\n") + "\n"
}
