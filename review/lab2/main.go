// Command lab2 plays the cases of the second review: it starts the system's processes with
// the command of the deploy file, beside stand-ins of the platform, the databases and the
// clients.
//
//	lab2 CASE RECORD
//
// With TROUBLE=0 in the environment it plays a case without its disruption. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout ends a case in any event.
const caseTimeout = 110 * time.Second

// reviewCase is a case.
type reviewCase struct {
	// prepare, if set, is called before the machines start.
	prepare func(d *deployment) error
	// play plays the case and returns what broke the rule, if anything.
	play func(ctx context.Context, d *deployment, trouble bool) (broken []string, err error)
}

// cases are the cases by their numbers.
var cases = map[string]reviewCase{
	"6":  {prepare: (*deployment).separable, play: lostRegions},
	"7":  {play: preparedCollision},
	"8":  {play: preparedMemory},
	"9":  {play: startupMemory},
	"10": {play: foreignEntry},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := play(ctx, os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	for _, what := range broken {
		fmt.Println("broken:", what)
	}
	switch {
	case len(broken) > 0:
		return 1
	case err != nil:
		fmt.Println("could not run:", err)
		return 2
	default:
		fmt.Println("held")
		return 0
	}
}

func play(ctx context.Context, name, path string, trouble bool) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "lab2")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	defer rec.close()
	rec.note("case %s, trouble %t", name, trouble)
	d, err := newDeployment(rec, dir)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.addMachines(); err != nil {
		return nil, err
	}
	if prepare := cases[name].prepare; prepare != nil {
		if err := prepare(d); err != nil {
			return nil, err
		}
	}
	if err := d.startMachines(); err != nil {
		return nil, err
	}
	broken, err = cases[name].play(ctx, d, trouble)
	for _, what := range broken {
		rec.note("broken: %s", what)
	}
	if err != nil {
		rec.note("error: %v", err)
	}
	return broken, err
}
