package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/exit"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`FORM` of the output: table or json",
		Validator: func(format string) error {
			if format != outputTable && format != outputJSON {
				return fmt.Errorf("%q is neither table nor json", format)
			}
			return nil
		},
	}
}

// table is the output in the form of text.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// write prints the table, or the value as JSON if the output flag selects it.
func write(c *cli.Command, t table, value any) error {
	if c.String("output") == outputJSON {
		return writeJSON(c, value)
	}
	writer := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		t.rows = append([][]string{t.header}, t.rows...)
	}
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func writeJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// invalid returns an error whose exit code is exit.Invalid.
func invalid(format string, args ...any) error {
	return &exit.InvalidError{Cause: fmt.Errorf(format, args...)}
}
