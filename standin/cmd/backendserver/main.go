// Command backendserver runs the stand-in backend server.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"basilmill/core/group"
	"basilmill/standin/backendserver"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "backendserver",
		Usage: "run the stand-in backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true, Usage: "id of the server within its group"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address for clients and feeds"},
			&cli.StringFlag{Name: "feed-listen", Usage: "second address for feeds"},
			&cli.StringFlag{Name: "admin-listen", Usage: "HTTP address for faults and counters"},
			&cli.StringFlag{Name: "role", Value: "replica", Usage: "initial role: primary or replica"},
			&cli.Int64Flag{Name: "term", Usage: "initial term of a primary, or the lowest term that a replica follows"},
			&cli.Int64Flag{Name: "generation", Usage: "generation under which a primary feeds its successor"},
			&cli.StringFlag{Name: "successor", Usage: "successor of a primary"},
			&cli.StringFlag{Name: "primary", Usage: "id of the primary that a replica follows"},
			&cli.StringFlag{Name: "primary-address", Usage: "address of the primary that a replica follows"},
			&cli.StringSliceFlag{Name: "database", Usage: "database that clients may use; repeatable, any if absent"},
			&cli.IntFlag{Name: "connection-limit", Usage: "limit of open client connections, 0 for none"},
			&cli.DurationFlag{Name: "opening-cost", Usage: "delay of each connection's start-up"},
			&cli.StringFlag{Name: "user", Usage: "user that may connect, if a password is set"},
			&cli.StringFlag{Name: "password", Usage: "password for SCRAM-SHA-256; absent trusts every client"},
			&cli.DurationFlag{
				Name: "quiesce-timeout", Value: backendserver.DefaultQuiesceTimeout,
				Usage: "time for open write transactions to finish",
			},
			&cli.BoolFlag{Name: "verbose", Usage: "log broken feeds"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	config, err := newConfig(ctx, c)
	if err != nil {
		return err
	}
	server := backendserver.New(config)
	config.Logger.Info("listening", "server", config.ID, "address", config.Listener.Addr().String())
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return server.Run(ctx) }, func(error) { cancel() })
	if address := c.String("admin-listen"); address != "" {
		admin := &http.Server{Addr: address, Handler: server.AdminHandler(), ReadHeaderTimeout: 5 * time.Second}
		group.Add(admin.ListenAndServe, func(error) { _ = admin.Close() })
	}
	return group.Run()
}

func newConfig(ctx context.Context, c *cli.Command) (config backendserver.Config, err error) {
	defer func() { err = eris.Wrap(err, "configure the server") }()
	level := slog.LevelInfo
	if c.Bool("verbose") {
		level = slog.LevelDebug
	}
	config = backendserver.Config{
		ID:              group.ServerID(c.String("id")),
		Term:            group.Term(c.Int64("term")),
		Generation:      group.Generation(c.Int64("generation")),
		Successor:       group.ServerID(c.String("successor")),
		Primary:         group.ServerID(c.String("primary")),
		PrimaryAddress:  c.String("primary-address"),
		Databases:       c.StringSlice("database"),
		ConnectionLimit: c.Int("connection-limit"),
		StartupDelay:    c.Duration("opening-cost"),
		User:            c.String("user"),
		Password:        c.String("password"),
		QuiesceTimeout:  c.Duration("quiesce-timeout"),
		Logger:          slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
	}
	switch role := c.String("role"); role {
	case group.Primary.String():
		config.Role = group.Primary
	case group.Replica.String():
		config.Role = group.Replica
	default:
		return config, eris.Errorf("unknown role %q", role)
	}
	var listenConfig net.ListenConfig
	if config.Listener, err = listenConfig.Listen(ctx, "tcp", c.String("listen")); err != nil {
		return config, err
	}
	if address := c.String("feed-listen"); address != "" {
		config.ReplicationListener, err = listenConfig.Listen(ctx, "tcp", address)
	}
	return config, err
}
