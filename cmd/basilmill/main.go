// Command basilmill is a database proxy with session consistency, and the
// command-line tool of its operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"basilmill/cmd/internal/command"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(command.Run(ctx, command.Root(), os.Args, os.Stderr))
}
