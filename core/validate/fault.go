// Package validate defines the errors that the validation of operators' input
// reports, called faults, each with the path of the invalid value. It also defines
// the ranges of parameters.
package validate

import (
	"cmp"
	"fmt"
	"strings"
)

// Path is the location of a value in a document, for example
// Groups[0].Databases[1]. The empty path is the whole document.
type Path string

// Field returns the path of the named field of the object at p.
func (p Path) Field(name string) Path {
	if p == "" {
		return Path(name)
	}
	return p + "." + Path(name)
}

// Index returns the path of element i of the list at p.
func (p Path) Index(i int) Path { return Path(fmt.Sprintf("%s[%d]", p, i)) }

// Parent returns the path of the object or list that contains the value at p.
func (p Path) Parent() Path {
	return p[:max(strings.LastIndexAny(string(p), ".["), 0)]
}

// Fault is one validation error: an invalid value and what is wrong with it.
type Fault struct {
	Path    Path
	Problem Problem
}

// String returns the path, unless it is empty, and the problem.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem.String()
	}
	return string(f.Path) + ": " + f.Problem.String()
}

// Faults lists the validation errors of a document.
type Faults []Fault

// Err returns the faults as an *Error, or nil if there is none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &Error{Faults: f}
}

// Error is the error for an invalid document. It reports all faults at once.
type Error struct {
	Faults Faults
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Problem says what is wrong with a value. Only types of this package implement
// it.
type Problem interface {
	fmt.Stringer
	problem()
}

// Missing means that a required value is absent or empty.
type Missing struct{}

// OutOfRange means that a value is outside the closed range from Min to Max.
type OutOfRange struct {
	Value string
	Min   string
	Max   string
}

// Malformed means that a value does not have the required format.
type Malformed struct {
	Value  string
	Reason string
}

// Duplicate means that a value equals the one at another path, although it must
// be unique.
type Duplicate struct {
	Of Path
}

// Claimed means that another client account has claimed the database group and
// that not both claims are shared.
type Claimed struct {
	By string
}

// UnknownKey means that an object has a key that is not defined.
type UnknownKey struct {
	// Suggestion is the defined key that differs only in case, if any.
	Suggestion string
}

// WrongType means that the type of a JSON value does not match its field.
type WrongType struct {
	Want string
	Got  string
}

// DuplicateKey means that an object has the same key more than once.
type DuplicateKey struct{}

// Syntax means that the document cannot be parsed any further.
type Syntax struct {
	Reason string
}

func (Missing) problem()      {}
func (OutOfRange) problem()   {}
func (Malformed) problem()    {}
func (Duplicate) problem()    {}
func (Claimed) problem()      {}
func (UnknownKey) problem()   {}
func (WrongType) problem()    {}
func (DuplicateKey) problem() {}
func (Syntax) problem()       {}

// String describes the problem, without its path.
func (Missing) String() string { return "required" }

// String describes the problem, without its path.
func (p OutOfRange) String() string {
	return fmt.Sprintf("%s is not between %s and %s", p.Value, p.Min, p.Max)
}

// String describes the problem, without its path.
func (p Malformed) String() string { return fmt.Sprintf("%q: %s", p.Value, p.Reason) }

// String describes the problem, without its path.
func (p Duplicate) String() string { return fmt.Sprintf("repeats %s", p.Of) }

// String describes the problem, without its path.
func (p Claimed) String() string {
	return fmt.Sprintf("the group is claimed by account %s and not shared by both", p.By)
}

// String describes the problem, without its path.
func (p UnknownKey) String() string {
	if p.Suggestion == "" {
		return "unknown key"
	}
	return fmt.Sprintf("unknown key, did you mean %s", p.Suggestion)
}

// String describes the problem, without its path.
func (p WrongType) String() string { return fmt.Sprintf("want %s, got %s", p.Want, p.Got) }

// String describes the problem, without its path.
func (DuplicateKey) String() string { return "the key is repeated" }

// String describes the problem, without its path.
func (p Syntax) String() string { return p.Reason }

// Range holds the default of a parameter and its closed range, from Min to Max.
type Range[T cmp.Ordered] struct {
	Default T
	Min     T
	Max     T
}

// Check returns a fault at the path if the value is outside the range.
func (r Range[T]) Check(path Path, value T) Faults {
	if value >= r.Min && value <= r.Max {
		return nil
	}
	return Faults{{Path: path, Problem: OutOfRange{
		Value: fmt.Sprint(value), Min: fmt.Sprint(r.Min), Max: fmt.Sprint(r.Max),
	}}}
}

// SetDefault sets the value to the default if it is zero.
func (r Range[T]) SetDefault(value *T) { *value = cmp.Or(*value, r.Default) }
