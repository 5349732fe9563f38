package account

import (
	"fmt"
	"strings"

	"basilmill/core/validate"
)

// Difference is a parameter whose value differs between two templates. An empty
// value means that the template does not have the parameter.
type Difference struct {
	// Path contains the names of groups and read classes instead of their
	// indices, for example ReadClasses[schedule].MaxAge.
	Path   validate.Path
	Before string
	After  string
}

// String returns the path and both values on one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Path, valueOrAbsent(d.Before), valueOrAbsent(d.After))
}

func valueOrAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

// Diff returns the parameters that differ, in the order of the template's
// fields, followed by those that only before has. It does not compare revisions
// and does not show verifiers.
func Diff(before, after Template) []Difference {
	old, current := parametersOf(before), parametersOf(after)
	var differences []Difference
	for _, path := range current.order {
		if old.values[path] != current.values[path] {
			differences = append(differences, difference(path, old, current))
		}
	}
	for _, path := range old.order {
		if _, ok := current.values[path]; !ok {
			differences = append(differences, difference(path, old, current))
		}
	}
	return differences
}

func difference(path validate.Path, old, current parameterValues) Difference {
	if path == "Verifier" {
		return Difference{Path: path, Before: "(hidden)", After: "(hidden, changed)"}
	}
	return Difference{Path: path, Before: old.values[path], After: current.values[path]}
}

// parameterValues holds the parameters of a template as text, by path.
type parameterValues struct {
	order  []validate.Path
	values map[validate.Path]string
}

func (p *parameterValues) add(path validate.Path, value any) {
	p.order = append(p.order, path)
	p.values[path] = fmt.Sprint(value)
}

// parametersOf returns the parameters of t, or none for the zero template.
func parametersOf(t Template) parameterValues {
	p := parameterValues{values: make(map[validate.Path]string)}
	if t.ID == "" {
		return p
	}
	p.add("ID", t.ID)
	for _, claim := range t.Groups {
		path := validate.Path(fmt.Sprintf("Groups[%s]", claim.Group))
		p.add(path.Field("Databases"), quoteList(claim.Databases))
		p.add(path.Field("ReadOnly"), claim.ReadOnly)
		p.add(path.Field("Shared"), claim.Shared)
	}
	p.add("Verifier", t.Verifier)
	// The order of the classes is compared too, because the first class that
	// matches applies.
	names := make([]string, len(t.ReadClasses))
	for i, class := range t.ReadClasses {
		names[i] = class.Name
	}
	p.add("ReadClasses", quoteList(names))
	for _, class := range t.ReadClasses {
		path := validate.Path(fmt.Sprintf("ReadClasses[%s]", class.Name))
		p.add(path.Field("MaxAge"), class.MaxAge)
		p.add(path.Field("Patterns"), quoteList(class.Patterns))
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

func quoteList(values []string) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = fmt.Sprintf("%q", value)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
