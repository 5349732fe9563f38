// Command measure runs the measurements of the whole system and writes
// measurements.md, measurements.json and the plots. The paused clock of
// testing/synctest needs a *testing.T, so that it runs the measurements as
// tests through testing.Main.
package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"runtime"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"basilmill/e2e/measure"
)

// parallel bounds the deployments that run at the same time, because the
// machine is shared.
const parallel = 4

func main() {
	command := &cli.Command{
		Name:  "measure",
		Usage: "measure the whole system on this machine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs", Usage: "`DIRECTORY` for the page, the figures and the plots"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the built programs"},
			&cli.StringFlag{Name: "commit", Usage: "commit that is measured"},
			&cli.StringFlag{Name: "only", Usage: "`PATTERN` of the measurements to run"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// run does not return when the measurements start: testing.Main exits.
func run(_ context.Context, c *cli.Command) error {
	only, err := regexp.Compile(c.String("only"))
	if err != nil {
		return err
	}
	r := &measure.Report{
		Commit: c.String("commit"), Date: time.Now(), Directory: c.String("out"), Bin: c.String("bin"),
		Machine: fmt.Sprintf("a shared machine with %d processors (%s/%s, %s)", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version()),
	}
	// The flags of package testing are parsed from what is left.
	os.Args = []string{os.Args[0], fmt.Sprintf("-test.parallel=%d", parallel)}
	testing.Main(func(string, string) (bool, error) { return true, nil }, measure.Tests(r, only), nil, nil)
	return nil
}
