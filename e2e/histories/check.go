package histories

import (
	"fmt"
	"slices"
)

// Invariant is the identifier of an invariant in the design document, such as
// "I2".
type Invariant string

// Invariants that concern writes.
const (
	AcknowledgedWritesAreDurable Invariant = "I2"
	TransactionsDoNotMix         Invariant = "I3"
	AnswersAreComplete           Invariant = "I4"
	NotRunHasNoEffect            Invariant = "I5"
	AtMostOnce                   Invariant = "I6"
)

// Violation is a violated invariant with a description of the observation.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// String formats the violation.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// Check compares a history with the rows found after it, counted by value, and
// returns the violations, including those that callers reported.
func Check(h *History, rows map[Value]int) []Violation {
	violations := h.ReportedViolations()
	attempts := map[Value][]Write{}
	var order []Value
	for _, w := range h.Writes() {
		if attempts[w.Value] == nil {
			order = append(order, w.Value)
		}
		attempts[w.Value] = append(attempts[w.Value], w)
	}
	for _, value := range order {
		violations = append(violations, checkAttempts(attempts[value], rows[value])...)
	}
	for value := range rows {
		if attempts[value] == nil {
			violations = append(violations, Violation{TransactionsDoNotMix, fmt.Sprintf("rows of %s, which no request wrote", value)})
		}
	}
	return violations
}

// checkAttempts checks the attempts of one request against the number of rows
// found. Only a keyed request has several attempts. A request must leave the
// rows of exactly one attempt or no rows.
func checkAttempts(attempts []Write, foundRows int) (violations []Violation) {
	addViolation := func(i Invariant, format string, args ...any) {
		violations = append(violations, Violation{i, fmt.Sprintf("%s: ", describeAttempts(attempts)) + fmt.Sprintf(format, args...)})
	}
	var possibleCounts []int
	var acknowledgedCounts []int
	for _, a := range attempts {
		if a.Outcome == Done {
			acknowledgedCounts = append(acknowledgedCounts, a.Rows)
		}
		if a.Outcome != NotRun {
			possibleCounts = append(possibleCounts, a.Rows)
		}
	}
	slices.Sort(acknowledgedCounts)
	acknowledgedCounts = slices.Compact(acknowledgedCounts)
	switch {
	case len(acknowledgedCounts) > 1:
		addViolation(AtMostOnce, "answered with different outcomes %v", acknowledgedCounts)
	case len(acknowledgedCounts) == 1 && foundRows == 0:
		addViolation(AcknowledgedWritesAreDurable, "acknowledged, but lost")
	case len(acknowledgedCounts) == 1 && foundRows != acknowledgedCounts[0] && attempts[0].Keyed:
		addViolation(AtMostOnce, "%d rows, but %d acknowledged", foundRows, acknowledgedCounts[0])
	case len(acknowledgedCounts) == 1 && foundRows != acknowledgedCounts[0]:
		addViolation(TransactionsDoNotMix, "%d rows, but %d acknowledged", foundRows, acknowledgedCounts[0])
	case len(possibleCounts) == 0 && foundRows > 0:
		addViolation(NotRunHasNoEffect, "not run, but %d rows", foundRows)
	case foundRows > 0 && len(acknowledgedCounts) == 0 && !slices.Contains(possibleCounts, foundRows):
		addViolation(AtMostOnce, "%d rows, but an attempt inserts one of %v", foundRows, possibleCounts)
	}
	return violations
}

func describeAttempts(attempts []Write) string {
	text := string(attempts[0].Value)
	for _, a := range attempts {
		text += fmt.Sprintf(" [%s %d rows on %s %s-%s %s]", a.Outcome, a.Rows, a.Host, a.Start.Format("05.000"), a.End.Format("05.000"), a.Code)
	}
	return text
}
