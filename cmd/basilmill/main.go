// Command basilmill is a database proxy with session consistency, and the
// tool of its operators.
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
	// The serve command of cmd/internal/serve is an argument of Root.
	root := command.Root()
	return int(command.Run(ctx, root, os.Args, os.Stderr))
}
