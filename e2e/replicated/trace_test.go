package replicated_test

import (
	"flag"
	"fmt"
	"time"

	"basilmill/core/host"
	"basilmill/core/takeover"
)

// traceInterval is the interval at which the states of the servers are compared.
const traceInterval = 5 * time.Millisecond

var flagTrace = flag.Bool("schedule.trace", false, "print the steps of the changes of primary in each run of a schedule")

// traceStep prints a step of a change of primary.
func (r *changesRun) traceStep(h host.ID, s takeover.Step) {
	if *flagTrace {
		r.tracef("%s %s %s epoch %d at %v, err %v", h, s.Name, s.Server, s.Epoch, s.Status.ReceivedPosition, s.Err)
	}
}

func (r *changesRun) tracef(format string, args ...any) {
	fmt.Printf("%v: %s\n", r.sinceStart(time.Now()), fmt.Sprintf(format, args...))
}

// trace prints the changes of the servers' states until the returned function is called.
func (r *changesRun) trace() (end func()) {
	if !*flagTrace {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		last := ""
		for {
			select {
			case <-done:
				return
			case <-time.After(traceInterval):
			}
			if states := r.cluster.States(); states != last {
				r.tracef("%s", states)
				last = states
			}
		}
	}()
	return func() { close(done) }
}
