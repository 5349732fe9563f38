// Command demo runs a small deployment as separate processes on loopback and
// demonstrates its functions: both users' account templates, a write through one
// host and its read through another, the loss of the primary, and a graceful
// shutdown.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"
)

// demoTimeout bounds the run of the whole demo.
const demoTimeout = 2 * time.Minute

func main() {
	bin := flag.String("bin", "bin", "directory with the built programs")
	examples := flag.String("examples", "examples", "directory with the account templates")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{bin: *bin, examples: *examples}
	err := d.run(ctx)
	if stopErr := d.stopAll(); err == nil {
		err = stopErr
	}
	if err != nil {
		fmt.Println("demo: failed:", err)
		os.Exit(1) //nolint:gocritic // every process was stopped above
	}
	fmt.Println("demo: ok")
}
