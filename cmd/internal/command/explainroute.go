package command

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/exit"
	"basilmill/io/operator"
)

func explainRouteCommand() *cli.Command {
	return &cli.Command{
		Name:      "route",
		Usage:     "show where a host would send a request now and why, without sending it",
		ArgsUsage: "OPERATORADDRESS",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "database", Usage: "`NAME` of the database that the caller connects to", Required: true},
			&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account"},
			&cli.StringFlag{Name: "operation", Usage: "read, write, begin or begin-read", Value: "read"},
			&cli.StringFlag{Name: "position", Usage: "log position TERM.NUMBER of the session's last commit"},
			&cli.DurationFlag{Name: "timeout", Usage: "limit of the request", Value: defaultTimeout},
			outputFlag(),
		},
		Action: action(1, 1, explainRoute),
	}
}

func explainRoute(ctx context.Context, c *cli.Command) error {
	address, err := netip.ParseAddrPort(c.Args().First())
	if err != nil {
		return &exit.InvalidError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	e, err := operator.FetchRoute(ctx, address, operator.RouteQuery{
		Database: c.String("database"), Account: c.String("account"), Operation: c.String("operation"), Position: c.String("position"),
	})
	if err != nil {
		return err
	}
	return write(c, routeTable(e), e)
}

func routeTable(e operator.RouteExplanation) table {
	t := table{header: []string{"PARAMETER", "VALUE"}}
	t.add("Host", fmt.Sprintf("%s, configuration version %d", e.Host, e.ConfigVersion))
	t.add("Route", fmt.Sprintf("%s to group %s, %s, priority %d", e.Route, e.Group, e.Consistency, e.Priority))
	t.add("Primary", primaryText(e))
	if e.MinPosition != "" {
		t.add("Position", fmt.Sprintf("at least %s, proven %s ago", e.MinPosition, cmp.Or(e.PositionAge, "0s")))
	}
	t.add("Limit", limitText(e.Limit))
	for _, c := range e.Candidates {
		t.add("Server "+c.Server, candidateText(c))
	}
	t.add("Now", cmp.Or(e.Reason, "the request would be sent"))
	return t
}

func primaryText(e operator.RouteExplanation) string {
	if !e.PrimaryKnown {
		return "unknown"
	}
	return "proven " + cmp.Or(e.ProofAge, "0s") + " ago"
}

func limitText(l operator.RouteLimit) string {
	if !l.Limited {
		return "none"
	}
	text := fmt.Sprintf("%g a second, burst %g, %d tokens at hand, %d operations wait", l.Rate, l.Burst, l.Held, l.Waiting)
	if l.RetryAfter != "" {
		text += ", next token expected in " + l.RetryAfter
	}
	return text
}

func candidateText(c operator.RouteCandidate) string {
	text := fmt.Sprintf("share %.0f%%, expected %s, latency %s, %d in flight", 100*c.Share, orDash(c.ExpectedTime), orDash(c.Latency), c.InFlight)
	if c.StatedAge != "" {
		text += fmt.Sprintf(", stated load %d and %d waiting %s ago", c.StatedInUse, c.StatedWait, c.StatedAge)
	}
	if c.Unanswered != "" {
		text += ", unanswered for " + c.Unanswered
	}
	if c.Via != "" {
		text += ", through " + c.Via
	}
	if c.Primary {
		text += ", primary"
	}
	if c.Reason != "" {
		text += ": " + c.Reason
	}
	return text
}
