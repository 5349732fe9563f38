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

// beliefWindow is how long before a request's end the changes of belief about
// its group are shown: the longest statement timeout of today's routes and the
// time in which a primary is suspected.
const beliefWindow = 3 * time.Second

// maxLogs bounds the files of one command: the hosts of a large deployment.
const maxLogs = 10_000

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "order the log lines of several hosts by request and decision",
		ArgsUsage: "ID FILE...",
		Description: "Shows every line about the request, and what the same hosts came to believe about its group " +
			"in the three seconds before the request ended. Each FILE is the standard output of a host.",
		Flags:  []cli.Flag{outputFlag()},
		Action: action(2, maxLogs, explain),
	}
}

// logLine is one line of a host's log.
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
	found := explained(id, lines)
	if len(found) == 0 {
		return fmt.Errorf("%s: %w", id, errNoSuchRequest)
	}
	var rows [][]string
	for _, l := range found {
		rows = append(rows, []string{l.Time.Format("15:04:05.000"), l.File, l.Name, describe(l)})
	}
	return write(c, table{rows: rows}, found)
}

// readLog reads the structured lines of a file and ignores others.
func readLog(path string) (lines []logLine, err error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		// A collector may put the host and its own time before the record.
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[at:], &fields) != nil {
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

// explained returns the lines about a request and the beliefs behind them, in
// the order of time.
func explained(id string, lines []logLine) (found []logLine) {
	about := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Fields["request"] != id })
	for _, l := range lines {
		if _, isRequest := l.Fields["request"]; isRequest {
			continue
		}
		if slices.ContainsFunc(about, func(a logLine) bool { return behind(a, l) }) {
			found = append(found, l)
		}
	}
	found = append(found, about...)
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.File, b.File)) })
	return found
}

// behind reports whether a line tells what the host believed about a request's
// group shortly before the request ended.
func behind(request, belief logLine) bool {
	if belief.File != request.File || belief.Time.After(request.Time) || request.Time.Sub(belief.Time) > beliefWindow {
		return false
	}
	group, stated := belief.Fields["group"]
	return !stated || group == request.Fields["group"]
}

// describe formats the fields of a line. Durations are in nanoseconds in the
// log.
func describe(l logLine) string {
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

var durationFields = map[string]bool{
	"elapsed": true, "leader_proven": true, "gap": true, "unproven": true, "proven_before": true, "grace": true,
}
