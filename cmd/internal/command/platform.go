package command

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/accounts"
	"basilmill/cmd/internal/exit"
	"basilmill/io/platform"
)

const (
	// defaultRetryTimeout is the default of --patience.
	defaultRetryTimeout = 15 * time.Second
	// defaultTimeout is the default of --timeout.
	defaultTimeout = platform.DefaultTimeout
)

// platformFlags returns the flags of a command that calls the platform, followed
// by more.
func platformFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "platform", Usage: "`ADDRESS` and port of the platform's object API",
			Sources: cli.EnvVars("BASILMILL_PLATFORM"), Required: true,
		},
		&cli.DurationFlag{Name: "timeout", Usage: "limit of one call to the platform", Value: defaultTimeout},
		outputFlag(),
	}, more...)
}

// client returns a client of the platform as the flags of a command select it.
func client(c *cli.Command) (*platform.Client, error) {
	address, err := netip.ParseAddrPort(c.String("platform"))
	if err != nil {
		return nil, &exit.InvalidError{Cause: fmt.Errorf("--platform: %w", err)}
	}
	return platform.NewClient(address, platform.Options{Timeout: c.Duration("timeout")}), nil
}

func accountStore(c *cli.Command) (accounts.Store, error) {
	api, err := client(c)
	if err != nil {
		return accounts.Store{}, err
	}
	return accounts.Store{API: api, RetryTimeout: c.Duration("patience")}, nil
}
