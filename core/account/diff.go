package account

import (
	"fmt"
	"strings"

	"basilmill/core/validate"
)

// Difference is one parameter that differs between two templates. An empty
// value means that the parameter is absent.
type Difference struct {
	// Path names groups and read classes instead of counting them, for
	// example ReadClasses[schedule].MaxAge.
	Path   validate.Path
	Before string
	After  string
}

// String returns the difference on one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Path, orAbsent(d.Before), orAbsent(d.After))
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

// Diff returns the parameters that differ, in the order of the template's
// fields. Revisions are not compared, and verifiers are masked.
func Diff(before, after Template) []Difference {
	old, now := parametersOf(before), parametersOf(after)
	var differences []Difference
	for _, path := range now.order {
		if old.values[path] != now.values[path] {
			differences = append(differences, difference(path, old, now))
		}
	}
	for _, path := range old.order {
		if _, ok := now.values[path]; !ok {
			differences = append(differences, difference(path, old, now))
		}
	}
	return differences
}

func difference(path validate.Path, old, now parameters) Difference {
	if path == "Verifier" {
		return Difference{Path: path, Before: "(hidden)", After: "(hidden, changed)"}
	}
	return Difference{Path: path, Before: old.values[path], After: now.values[path]}
}

// parameters is a template as paths with values.
type parameters struct {
	order  []validate.Path
	values map[validate.Path]string
}

func (p *parameters) add(path validate.Path, value any) {
	p.order = append(p.order, path)
	p.values[path] = fmt.Sprint(value)
}

func parametersOf(t Template) parameters {
	p := parameters{values: make(map[validate.Path]string)}
	if t.ID == "" {
		return p
	}
	p.add("ID", t.ID)
	for _, claim := range t.Groups {
		path := validate.Path(fmt.Sprintf("Groups[%s]", claim.Group))
		p.add(path.Field("Databases"), quoted(claim.Databases))
		p.add(path.Field("ReadOnly"), claim.ReadOnly)
		p.add(path.Field("Shared"), claim.Shared)
	}
	p.add("Verifier", t.Verifier)
	// The order of the classes decides which one applies.
	names := make([]string, len(t.ReadClasses))
	for i, class := range t.ReadClasses {
		names[i] = class.Name
	}
	p.add("ReadClasses", quoted(names))
	for _, class := range t.ReadClasses {
		path := validate.Path(fmt.Sprintf("ReadClasses[%s]", class.Name))
		p.add(path.Field("MaxAge"), class.MaxAge)
		p.add(path.Field("Patterns"), quoted(class.Patterns))
		p.add(path.Field("RequireOwnWrites"), class.RequireOwnWrites)
	}
	p.add("Sharing.Weight", t.Sharing.Weight)
	p.add("Sharing.MaxConnections", t.Sharing.MaxConnections)
	p.add("Sharing.QueueLimit", t.Sharing.QueueLimit)
	p.add("Sharing.QueueTimeout", t.Sharing.QueueTimeout)
	p.add("Slots", t.Slots)
	p.add("ConfirmationTimeout", t.ConfirmationTimeout)
	p.add("KeyRetention", t.KeyRetention)
	return p
}

func quoted(values []string) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = fmt.Sprintf("%q", value)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
