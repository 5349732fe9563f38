package histories

import (
	"fmt"
	"slices"
)

// Invariant is the id of an invariant of the design page.
type Invariant string

// Invariants about writes.
const (
	AcknowledgedWritesAreDurable Invariant = "I2"
	TransactionsDoNotMix         Invariant = "I3"
	AnswersAreComplete           Invariant = "I4"
	NotRunHasNoEffect            Invariant = "I5"
	AtMostOnce                   Invariant = "I6"
)

// Violation is a violated invariant with what was seen.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// String formats the violation.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// Check compares a history with the rows found at the end, counted by value.
func Check(h *History, rows map[Value]int) []Violation {
	violations := h.ReportedViolations()
	requests := map[Value][]Write{}
	var order []Value
	for _, w := range h.Writes() {
		if requests[w.Value] == nil {
			order = append(order, w.Value)
		}
		requests[w.Value] = append(requests[w.Value], w)
	}
	for _, value := range order {
		violations = append(violations, checkRequest(requests[value], rows[value])...)
	}
	for value := range rows {
		if requests[value] == nil {
			violations = append(violations, Violation{TransactionsDoNotMix, fmt.Sprintf("rows of %s, which nobody wrote", value)})
		}
	}
	return violations
}

// checkRequest checks the attempts of one request, which are several only if
// it is keyed. A request leaves the rows of exactly one attempt or none.
func checkRequest(attempts []Write, found int) (violations []Violation) {
	report := func(i Invariant, format string, args ...any) {
		violations = append(violations, Violation{i, fmt.Sprintf("%s: ", describe(attempts)) + fmt.Sprintf(format, args...)})
	}
	var possible []int
	var done []int
	for _, a := range attempts {
		if a.Outcome == Done {
			done = append(done, a.Rows)
		}
		if a.Outcome != NotRun {
			possible = append(possible, a.Rows)
		}
	}
	slices.Sort(done)
	done = slices.Compact(done)
	switch {
	case len(done) > 1:
		report(AtMostOnce, "answered with different outcomes %v", done)
	case len(done) == 1 && found == 0:
		report(AcknowledgedWritesAreDurable, "acknowledged, but lost")
	case len(done) == 1 && found != done[0] && attempts[0].Keyed:
		report(AtMostOnce, "%d rows, but %d acknowledged", found, done[0])
	case len(done) == 1 && found != done[0]:
		report(TransactionsDoNotMix, "%d rows, but %d acknowledged", found, done[0])
	case len(possible) == 0 && found > 0:
		report(NotRunHasNoEffect, "not run, but %d rows", found)
	case found > 0 && len(done) == 0 && !slices.Contains(possible, found):
		report(AtMostOnce, "%d rows, but an attempt inserts one of %v", found, possible)
	}
	return violations
}

func describe(attempts []Write) string {
	text := string(attempts[0].Value)
	for _, a := range attempts {
		text += fmt.Sprintf(" [%s %d rows on %s %s-%s %s]", a.Outcome, a.Rows, a.Host, a.Start.Format("05.000"), a.End.Format("05.000"), a.Code)
	}
	return text
}
