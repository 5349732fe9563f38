package command

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:   "version",
		Usage:  "show the version of the program",
		Flags:  []cli.Flag{outputFlag()},
		Action: action(0, 0, showVersion),
	}
}

// versionInfo is the JSON output of version.
type versionInfo struct {
	Version  string
	Revision string
	Go       string
}

func showVersion(_ context.Context, c *cli.Command) error {
	info := versionInfo{Version: "unknown", Go: runtime.Version()}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Version = build.Main.Version
		for _, setting := range build.Settings {
			if setting.Key == "vcs.revision" {
				info.Revision = setting.Value
			}
		}
	}
	row := []string{"basilmill", orDash(info.Version), orDash(info.Revision), info.Go}
	return write(c, table{rows: [][]string{row}}, info)
}
