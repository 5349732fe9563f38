package command

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"basilmill/cmd/entry"
	"basilmill/core/budget"
	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/settings"
	"basilmill/platform"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry host on the users' platform until SIGTERM, then drain",
		Description: "The settings file is the platform's; its path is given by the platform. " +
			"SIGHUP reads it again. With any fault in it nothing is started and the exit code is 2.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the platform", Value: platform.SettingsPath()},
		},
		Action: action(0, 0, runEntry),
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.RuntimeMemory())
	}
	clientBudget := budget.New(s.ClientMemory())
	store := platform.NewStoreClient(s.Store)
	promotions := platform.NewPromotionClient(s.Orders)
	logWriter := logevent.NewWriter(c.Root().Writer)
	defer func() { _ = logWriter.Close() }()
	log := newLogger(logWriter, settings.Log{Format: settings.JSON})
	host := entry.New(s, entry.Platform{
		Source: store, Objects: store, Catalog: func(objects distribution.Source) catalog.Source { return platform.Catalog{Objects: objects} },
		SavedServerStore: store, RecordStore: store, Hosts: store, Eras: &store.Eras, PromotionService: promotions, Connect: platform.Connect,
		Dialer: func(connect func(context.Context, catalog.Server) (net.Conn, error)) link.Dialer {
			return platform.Dialer{Connect: connect, Budget: clientBudget}
		},
		CheckStatement: platform.CheckStatement,
		Codec:          func(conn net.Conn) entry.Codec { return platform.NewCallerCodec(conn) },
		Readiness:      platform.ReadinessHandler,
		Reload: func(s settings.Entry) {
			store.SetAddress(s.Store)
			promotions.SetAddress(s.Orders)
		},
		Clock:  bootClock,
		Budget: clientBudget,
	}, log)
	store.Observe = host.ObserveStoreCall
	reload := make(chan settings.Entry)
	go func() {
		for range reloadSignals {
			changed, err := platform.ReadSettings(path)
			if err != nil {
				log.Error("settings not reloaded", "error", err.Error())
				continue
			}
			select {
			case reload <- changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return host.Run(ctx, reload)
}

// bootClock returns the time since boot, including the time for which the machine
// was suspended.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(eris.Wrap(err, "CLOCK_BOOTTIME"))
	}
	return time.Duration(t.Nano())
}
