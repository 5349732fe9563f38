package jsonc

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"basilmill/core/validate"
)

// Fault is a fault at a place of a document.
type Fault struct {
	// Line and Column start at 1. Columns count characters.
	Line   int
	Column int
	validate.Fault
}

// String returns line:column: path: problem.
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Fault) }

// Error lists all faults of a document in the order of their places.
type Error struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// placedFault is a fault at a byte offset.
type placedFault struct {
	offset int
	fault  validate.Fault
}

// locate returns the faults with their lines and columns as an *Error, or nil
// when there is none.
func locate(data []byte, faults []placedFault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b placedFault) int { return cmp.Compare(a.offset, b.offset) })
	located := make([]Fault, len(faults))
	for i, placed := range faults {
		line, column := position(data, placed.offset)
		located[i] = Fault{Line: line, Column: column, Fault: placed.fault}
	}
	return &Error{Faults: located}
}

func position(data []byte, offset int) (line, column int) {
	before := string(data[:offset])
	start := strings.LastIndexByte(before, '\n') + 1
	return strings.Count(before, "\n") + 1, utf8.RuneCountInString(before[start:]) + 1
}

// offsetOf returns the offset of a line and a column in bytes, both from 1.
func offsetOf(data []byte, line, column int) int {
	offset := 0
	for range line - 1 {
		offset += bytes.IndexByte(data[offset:], '\n') + 1
	}
	return min(offset+column-1, len(data))
}
