package command

import (
	"context"
	"io"
	"log/slog"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/serve"
	"basilmill/core/settings"
	"basilmill/io/jsonc"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host until SIGTERM, then drain",
		Description: "Callers are served with the PostgreSQL protocol on Listen. The settings file is JSON with comments; " +
			"with any fault in it nothing is started and the exit code is 2.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`, JSON with comments", Required: true},
		},
		Action: action(0, 0, runHost),
	}
}

func runHost(ctx context.Context, c *cli.Command) error {
	path := c.String("config")
	data, err := readFile(path)
	if err != nil {
		return err
	}
	s, err := jsonc.Settings(data)
	if err != nil {
		return withPath(path, err)
	}
	host, err := serve.New(ctx, s, newLogger(c.Root().ErrWriter, s.Log), serve.Network{})
	if err != nil {
		return err
	}
	return host.Run(ctx)
}

func newLogger(w io.Writer, s settings.Log) *slog.Logger {
	options := &slog.HandlerOptions{Level: s.Level}
	if s.Format == settings.JSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
