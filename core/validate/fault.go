// Package validate defines the faults that the validation of operators' input
// reports, each with the path of the value at fault, and the ranges of
// parameters.
package validate

import (
	"cmp"
	"fmt"
	"strings"
)

// Path locates a value in a document, for example Groups[0].Databases[1]. The
// empty path is the whole document.
type Path string

// Field returns the path of a field of the object at p.
func (p Path) Field(name string) Path {
	if p == "" {
		return Path(name)
	}
	return p + "." + Path(name)
}

// Index returns the path of an element of the list at p.
func (p Path) Index(i int) Path { return Path(fmt.Sprintf("%s[%d]", p, i)) }

// Parent returns the path of the object or list that holds the value at p.
func (p Path) Parent() Path {
	return p[:max(strings.LastIndexAny(string(p), ".["), 0)]
}

// Fault is one fault of a document.
type Fault struct {
	Path    Path
	Problem Problem
}

// String returns the path and the problem.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem.String()
	}
	return string(f.Path) + ": " + f.Problem.String()
}

// Faults lists the faults of a document.
type Faults []Fault

// Err returns the faults as an *Error, or nil when there is none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &Error{Faults: f}
}

// Error reports all faults of a document at once.
type Error struct {
	Faults Faults
}

// Error returns the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Problem is what is wrong with a value: one of the types of this package.
type Problem interface {
	fmt.Stringer
	problem()
}

// Missing means that a required value is absent or empty.
type Missing struct{}

// OutOfRange means that a value lies outside the closed range.
type OutOfRange struct {
	Value string
	Min   string
	Max   string
}

// Malformed means that a value does not have its required form.
type Malformed struct {
	Value  string
	Reason string
}

// Duplicate means that a value repeats the one at another path.
type Duplicate struct {
	Of Path
}

// Claimed means that another client account has claimed the group.
type Claimed struct {
	By string
}

// UnknownKey means that a key is not defined.
type UnknownKey struct {
	// Suggestion is a defined key that differs only in case, if any.
	Suggestion string
}

// WrongType means that a JSON value has another type than the field.
type WrongType struct {
	Want string
	Got  string
}

// DuplicateKey means that an object has the key twice.
type DuplicateKey struct{}

// Syntax means that the document cannot be parsed from there on.
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

// String describes the problem.
func (Missing) String() string { return "required" }

// String describes the problem.
func (p OutOfRange) String() string {
	return fmt.Sprintf("%s is not between %s and %s", p.Value, p.Min, p.Max)
}

// String describes the problem.
func (p Malformed) String() string { return fmt.Sprintf("%q: %s", p.Value, p.Reason) }

// String describes the problem.
func (p Duplicate) String() string { return fmt.Sprintf("repeats %s", p.Of) }

// String describes the problem.
func (p Claimed) String() string {
	return fmt.Sprintf("the group is claimed by account %s and not shared by both", p.By)
}

// String describes the problem.
func (p UnknownKey) String() string {
	if p.Suggestion == "" {
		return "unknown key"
	}
	return fmt.Sprintf("unknown key, did you mean %s", p.Suggestion)
}

// String describes the problem.
func (p WrongType) String() string { return fmt.Sprintf("want %s, got %s", p.Want, p.Got) }

// String describes the problem.
func (DuplicateKey) String() string { return "the key is repeated" }

// String describes the problem.
func (p Syntax) String() string { return p.Reason }

// Range is the default and the closed range of a parameter.
type Range[T cmp.Ordered] struct {
	Default T
	Min     T
	Max     T
}

// Check returns a fault when the value lies outside the range.
func (r Range[T]) Check(path Path, value T) Faults {
	if value >= r.Min && value <= r.Max {
		return nil
	}
	return Faults{{Path: path, Problem: OutOfRange{
		Value: fmt.Sprint(value), Min: fmt.Sprint(r.Min), Max: fmt.Sprint(r.Max),
	}}}
}

// SetDefault sets the value to the default when it is zero.
func (r Range[T]) SetDefault(value *T) { *value = cmp.Or(*value, r.Default) }
