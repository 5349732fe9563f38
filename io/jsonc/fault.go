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

// Fault is a fault at a position of a document.
type Fault struct {
	// Line and Column start at 1. Columns count characters.
	Line   int
	Column int
	validate.Fault
}

// String returns line:column: path: problem.
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Fault) }

// Error lists the faults of a document in the order of their positions.
type Error struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// offsetFault is a fault at a byte offset of a document.
type offsetFault struct {
	offset int
	fault  validate.Fault
}

// locate converts the offsets of the faults to lines and columns. It returns an
// *Error, or nil if there are no faults.
func locate(data []byte, faults []offsetFault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b offsetFault) int { return cmp.Compare(a.offset, b.offset) })
	located := make([]Fault, len(faults))
	for i, f := range faults {
		line, column := position(data, f.offset)
		located[i] = Fault{Line: line, Column: column, Fault: f.fault}
	}
	return &Error{Faults: located}
}

// position returns the line and the column, in characters, of a byte offset, both
// from 1.
func position(data []byte, offset int) (line, column int) {
	before := string(data[:offset])
	start := strings.LastIndexByte(before, '\n') + 1
	return strings.Count(before, "\n") + 1, utf8.RuneCountInString(before[start:]) + 1
}

// offsetOf returns the byte offset of a line and a column in bytes, both from 1.
func offsetOf(data []byte, line, column int) int {
	offset := 0
	for range line - 1 {
		offset += bytes.IndexByte(data[offset:], '\n') + 1
	}
	return min(offset+column-1, len(data))
}
