package command

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// contextWindow is how long before the end of a request its host's events about
// the group are shown. It covers the longest statement timeout of the current
// routes and the time after which a primary is suspected.
const contextWindow = 3 * time.Second

// maxFiles bounds the files of one command. A large deployment has fewer hosts.
const maxFiles = 10_000

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "order the log lines of several hosts by request and decision",
		ArgsUsage: "ID FILE...",
		Description: "Shows every line about the request, and what the same hosts came to believe about its group " +
			"in the three seconds before the request ended. Each FILE is the standard output of a host.",
		Flags:    []cli.Flag{outputFlag()},
		Action:   action(2, maxFiles, explain),
		Commands: []*cli.Command{explainRouteCommand()},
	}
}

// logLine is one line of a host's log. Its field names are the keys of the JSON
// output of explain.
type logLine struct {
	Time   time.Time
	File   string
	Name   string
	Event  int
	Fields map[string]any
}

var errNoSuchRequest = errors.New("no line about this request; it may have been sampled out, or served by another host")

func explain(_ context.Context, c *cli.Command) error {
	id, files := c.Args().First(), c.Args().Tail()
	var lines []logLine
	for _, file := range files {
		read, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	found := selectLines(id, lines)
	if len(found) == 0 {
		return fmt.Errorf("%s: %w", id, errNoSuchRequest)
	}
	var rows [][]string
	for _, l := range found {
		rows = append(rows, []string{l.Time.Format("15:04:05.000"), l.File, l.Name, formatFields(l)})
	}
	return write(c, table{rows: rows}, found)
}

// readLog reads the JSON records of a log file and ignores other lines.
func readLog(path string) (lines []logLine, err error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		// A log collector may prefix the record with the host and a time.
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
			continue
		}
		line := logLine{File: path, Fields: fields}
		line.Name, _ = fields["Name"].(string)
		number, _ := fields["Event"].(float64)
		line.Event = int(number)
		text, _ := fields["time"].(string)
		if line.Time, err = time.Parse(time.RFC3339Nano, text); err != nil {
			continue
		}
		for _, key := range []string{"time", "level", "msg", "Event", "Name"} {
			delete(fields, key)
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// selectLines returns the lines about a request and the events before it that may
// explain its outcome, ordered by time.
func selectLines(id string, lines []logLine) (found []logLine) {
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Fields["request"] != id })
	for _, l := range lines {
		if _, isRequest := l.Fields["request"]; isRequest {
			continue
		}
		if slices.ContainsFunc(requestLines, func(r logLine) bool { return isContext(r, l) }) {
			found = append(found, l)
		}
	}
	found = append(found, requestLines...)
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.File, b.File)) })
	return found
}

// isContext reports whether an event is from the request's host, within the
// contextWindow before the request ended, and about the request's group or about
// no group in particular.
func isContext(request, event logLine) bool {
	if event.File != request.File || event.Time.After(request.Time) || request.Time.Sub(event.Time) > contextWindow {
		return false
	}
	group, hasGroup := event.Fields["group"]
	return !hasGroup || group == request.Fields["group"]
}

// formatFields formats the fields of a line, ordered by key. Durations are in
// nanoseconds in the log.
func formatFields(l logLine) string {
	var parts []string
	for key, value := range l.Fields {
		text := fmt.Sprint(value)
		if number, ok := value.(float64); ok {
			text = fmt.Sprintf("%.0f", number)
			if durationFields[key] {
				text = time.Duration(number).Round(time.Millisecond).String()
			}
		}
		if text != "" {
			parts = append(parts, key+"="+text)
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// durationFields are the keys of the fields that hold a duration.
var durationFields = map[string]bool{
	"elapsed": true, "leader_proven": true, "gap": true, "unproven": true, "proven_before": true, "grace": true,
}
