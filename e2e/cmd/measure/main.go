// Command measure runs the measurements of the whole system and writes
// measurements.md, measurements.json and the plots. It runs the measurements as
// tests through testing.Main, because the virtual time of testing/synctest
// needs a *testing.T.
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

// maxParallel is the maximum number of deployments that run at the same time,
// because the machine is shared with other work.
const maxParallel = 4

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

// run does not return once the measurements have started, because testing.Main
// exits the process.
func run(_ context.Context, c *cli.Command) error {
	pattern, err := regexp.Compile(c.String("only"))
	if err != nil {
		return err
	}
	r := &measure.Report{
		Commit: c.String("commit"), Date: time.Now(), Directory: c.String("out"), Bin: c.String("bin"),
		Machine: fmt.Sprintf("a shared machine with %d processors (%s/%s, %s)", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version()),
	}
	// Package testing parses its flags from os.Args, which must not contain the
	// command's own flags.
	os.Args = []string{os.Args[0], fmt.Sprintf("-test.parallel=%d", maxParallel)}
	testing.Main(func(string, string) (bool, error) { return true, nil }, measure.Tests(r, pattern), nil, nil)
	return nil
}
