// Package histories owns the record of the callers' requests and answers, and
// the checks that compare it with the rows found at the end of a test.
package histories

import (
	"slices"
	"sync"
	"time"
)

// Outcome is the outcome of a request as its answer states it.
type Outcome int

// Outcomes of a request: Unknown if it may have run, NotRun if it had no effect,
// Done if it succeeded.
const (
	Unknown Outcome = iota
	NotRun
	Done
)

// String returns the name used in reports.
func (o Outcome) String() string { return [...]string{"unknown", "not run", "done"}[o] }

// Value identifies the rows of one request. It is unique in a history, except
// that the attempts of a keyed request share it.
type Value string

// Write is one attempt to insert rows.
type Write struct {
	Value Value
	// Rows is the number of rows that the attempt inserts. If the outcome is
	// Done, it is the number that the answer states.
	Rows int
	// Keyed means that the request has a request key and that attempts with the
	// same value are the same request.
	Keyed bool
	// Host is the ID of the entry host.
	Host    string
	Outcome Outcome
	// Code is the SQLSTATE of a failure, or a text if the failure has none.
	Code       string
	Start, End time.Time
}

// History records writes. It is safe for concurrent use; the zero value is
// empty.
type History struct {
	mu         sync.Mutex
	writes     []Write
	violations []Violation
}

// Add records a finished attempt.
func (h *History) Add(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

// AddViolation records a violation that a caller detected in an answer.
func (h *History) AddViolation(v Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, v)
}

// Writes returns the recorded attempts.
func (h *History) Writes() []Write {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.writes)
}

// ReportedViolations returns the violations that callers detected.
func (h *History) ReportedViolations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// FailoverGap returns the time from a loss until the end of the earliest
// successful write that started at or after it, on the given host, or on any
// host if it is empty. It ignores keyed writes, because attempts with the same
// key wait for each other.
func (h *History) FailoverGap(loss time.Time, host string) (gap time.Duration, ok bool) {
	for _, w := range h.Writes() {
		if w.Outcome != Done || w.Keyed || w.Start.Before(loss) || (host != "" && w.Host != host) {
			continue
		}
		if d := w.End.Sub(loss); !ok || d < gap {
			gap, ok = d, true
		}
	}
	return gap, ok
}

// LongestStall returns the longest time between from and to in which no write
// succeeded.
func (h *History) LongestStall(from, to time.Time) time.Duration {
	ends := []time.Time{to}
	for _, w := range h.Writes() {
		if w.Outcome == Done && w.End.After(from) && w.End.Before(to) {
			ends = append(ends, w.End)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	longest := time.Duration(0)
	for _, end := range ends {
		longest = max(longest, end.Sub(from))
		from = end
	}
	return longest
}

// Codes counts the attempts by the code of their failure; successful attempts
// are counted under the empty code.
func (h *History) Codes() map[string]int {
	codes := map[string]int{}
	for _, w := range h.Writes() {
		codes[w.Code]++
	}
	return codes
}
