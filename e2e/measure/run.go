package measure

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Measurement is a named measurement whose function produces tables of the report.
type Measurement struct {
	Name string
	Run  func(r *Report) func(t *testing.T)
}

// Measurements returns all measurements in the order in which they run.
func Measurements() []Measurement {
	return []Measurement{
		{"control", Control},
		{"state", State},
		{"failover", Failover},
		{"reads", Reads},
		{"writes", Writes},
		{"storm", Storm},
		{"loopback", Loopback},
	}
}

// Tests returns the measurements whose names match the pattern, as test functions.
// The last test function writes the report, even if measurements failed.
func Tests(r *Report, pattern *regexp.Regexp) []testing.InternalTest {
	var tests []testing.InternalTest
	for _, m := range Measurements() {
		if pattern.MatchString(m.Name) {
			tests = append(tests, testing.InternalTest{Name: m.Name, F: func(t *testing.T) {
				began := time.Now()
				m.Run(r)(t)
				fmt.Printf("measure: %s took %s\n", m.Name, time.Since(began).Round(time.Second))
			}})
		}
	}
	return append(tests, testing.InternalTest{Name: "write", F: func(t *testing.T) {
		if err := r.write(); err != nil {
			t.Fatal(err)
		}
	}})
}

func (r *Report) write() error {
	if err := os.MkdirAll(r.Directory, 0o755); err != nil {
		return err
	}
	data, err := r.JSON()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.Directory, "measurements.json"), data, 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.Directory, "measurements.md"), r.Markdown(), 0o644)
}
