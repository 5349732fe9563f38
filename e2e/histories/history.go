// Package histories owns the record of what callers asked for and were told,
// and the checks that compare it with the rows found at the end.
package histories

import (
	"slices"
	"sync"
	"time"
)

// Outcome is what a caller was told about a request.
type Outcome int

// Outcomes of a request. The zero value promises nothing.
const (
	Unknown Outcome = iota
	NotRun
	Done
)

// String returns the wording used in reports.
func (o Outcome) String() string { return [...]string{"unknown", "not run", "done"}[o] }

// Value identifies the rows of one request. It is unique in a history, but
// for the attempts of a keyed request, which share it.
type Value string

// Write is one attempt to insert rows.
type Write struct {
	Value Value
	// Rows is the number of rows that the attempt inserts, or, of an attempt
	// that is done, the number that its answer states.
	Rows int
	// Keyed says that attempts with the same value are one request.
	Keyed bool
	// Host names the entry host.
	Host    string
	Outcome Outcome
	// Code is the SQLSTATE of a failure, or a text when there was none.
	Code       string
	Start, End time.Time
}

// History is a concurrent record of writes. The zero value is empty.
type History struct {
	mu     sync.Mutex
	writes []Write
	faults []Violation
}

// Add records a finished attempt.
func (h *History) Add(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

// AddViolation records a violation that a caller saw itself.
func (h *History) AddViolation(v Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, v)
}

// Writes returns the recorded attempts.
func (h *History) Writes() []Write {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.writes)
}

// ReportedViolations returns the violations that callers saw.
func (h *History) ReportedViolations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.faults)
}

// FailoverGap returns the time from a loss until the end of the first write that began
// at or after it and was done, but for keyed writes, which wait for each other,
// on the given host or on any if it is empty.
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

// LongestStall returns the longest interval within a period in which no write was
// done.
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

// Codes counts the attempts by the code of their failure; the empty code
// stands for those that are done.
func (h *History) Codes() map[string]int {
	codes := map[string]int{}
	for _, w := range h.Writes() {
		codes[w.Code]++
	}
	return codes
}
