package account

import (
	"fmt"
	"regexp"
)

// Matcher finds the read class that applies to a statement. The zero value has
// no classes.
type Matcher struct {
	classes []compiledClass
}

// compiledClass is a read class with its compiled patterns.
type compiledClass struct {
	class    ReadClass
	patterns []*regexp.Regexp
}

// Matcher returns a Matcher for the template's read classes. It fails if a
// pattern is not a valid regular expression.
func (t Template) Matcher() (Matcher, error) {
	var matcher Matcher
	for _, class := range t.ReadClasses {
		compiled := compiledClass{class: class}
		for _, pattern := range class.Patterns {
			expression, err := regexp.Compile(pattern)
			if err != nil {
				return Matcher{}, fmt.Errorf("read class %s: %w", class.Name, err)
			}
			compiled.patterns = append(compiled.patterns, expression)
		}
		matcher.classes = append(matcher.classes, compiled)
	}
	return matcher, nil
}

// Match returns the first class with a pattern that matches the text of the
// statement.
func (m Matcher) Match(statement string) (class ReadClass, ok bool) {
	for _, compiled := range m.classes {
		for _, expression := range compiled.patterns {
			if expression.MatchString(statement) {
				return compiled.class, true
			}
		}
	}
	return ReadClass{}, false
}
