// Package jsonc reads operators' files, which are JSON with comments: the
// settings of a host and the templates of client accounts. It reports all
// faults of a file at once, each with its line and column.
package jsonc

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"basilmill/core/validate"
)

// MaxBytes bounds a file. It also bounds the recursion of the parser.
const MaxBytes = 256 << 10

// maxFaults bounds the faults that are reported for one file.
const maxFaults = 100

// field reads a value into the place that it was made for.
type field func(d *decoder, value hujson.Value, path validate.Path)

// fields maps the keys of an object to their fields.
type fields map[string]field

// decoder collects the faults of a document and the places of its values.
type decoder struct {
	faults  []placedFault
	faulty  map[validate.Path]bool
	offsets map[validate.Path]int
}

// decode reads a document whose root is an object, then adds the faults that
// check finds in the result.
func decode(data []byte, root fields, check func() validate.Faults) error {
	if len(data) > MaxBytes {
		return locate(nil, []placedFault{{fault: validate.Fault{Problem: validate.OutOfRange{
			Value: fmt.Sprintf("the size, %d bytes,", len(data)), Min: "0", Max: strconv.Itoa(MaxBytes),
		}}}})
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return syntaxError(data, err)
	}
	d := &decoder{faulty: make(map[validate.Path]bool), offsets: make(map[validate.Path]int)}
	object(root)(d, value, "")
	for _, fault := range check() {
		d.addChecked(fault)
	}
	return locate(data, d.faults)
}

// syntaxError converts the parser's error, which has the place in its text and
// counts columns in bytes.
func syntaxError(data []byte, err error) error {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		line, column = 1, 1
	}
	reason := err
	if cause := errors.Unwrap(err); cause != nil {
		reason = cause
	}
	fault := validate.Fault{Problem: validate.Syntax{Reason: reason.Error()}}
	return locate(data, []placedFault{{offset: offsetOf(data, line, column), fault: fault}})
}

func (d *decoder) add(offset int, path validate.Path, problem validate.Problem) {
	d.faulty[path] = true
	if len(d.faults) < maxFaults {
		d.faults = append(d.faults, placedFault{offset: offset, fault: validate.Fault{Path: path, Problem: problem}})
	}
}

// addChecked adds a fault of the decoded value unless the value, or one that
// holds it, could not be decoded. An absent value has the place of the object
// that lacks it.
func (d *decoder) addChecked(fault validate.Fault) {
	offset, found := 0, false
	for path := fault.Path; ; path = path.Parent() {
		if d.faulty[path] && path != "" {
			return
		}
		if at, ok := d.offsets[path]; ok && !found {
			offset, found = at, true
		}
		if path == "" {
			break
		}
	}
	d.add(offset, fault.Path, fault.Problem)
}

// object reads the members of an object.
func object(members fields) field {
	return func(d *decoder, value hujson.Value, path validate.Path) {
		d.offsets[path] = value.StartOffset
		parsed, ok := value.Value.(*hujson.Object)
		if !ok {
			d.wrongType(value, path, "an object")
			return
		}
		seen := make(map[string]bool)
		for _, member := range parsed.Members {
			d.member(members, member, path, seen)
		}
	}
}

func (d *decoder) member(members fields, member hujson.ObjectMember, path validate.Path, seen map[string]bool) {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return
	}
	key := literal.String()
	read, known := members[key]
	path = path.Field(key)
	switch {
	case !known:
		d.add(member.Name.StartOffset, path, validate.UnknownKey{Suggestion: members.suggest(key)})
	case seen[key]:
		d.add(member.Name.StartOffset, path, validate.DuplicateKey{})
	default:
		seen[key] = true
		read(d, member.Value, path)
	}
}

// suggest returns the defined key that differs from key only in case.
func (f fields) suggest(key string) string {
	for defined := range f {
		if strings.EqualFold(defined, key) {
			return defined
		}
	}
	return ""
}

// list reads an array. The element function sets the defaults of an element
// and returns its field.
func list[T any](into *[]T, element func(*T) field) field {
	return func(d *decoder, value hujson.Value, path validate.Path) {
		d.offsets[path] = value.StartOffset
		parsed, ok := value.Value.(*hujson.Array)
		if !ok {
			d.wrongType(value, path, "a list")
			return
		}
		*into = make([]T, len(parsed.Elements))
		for i, item := range parsed.Elements {
			element(&(*into)[i])(d, item, path.Index(i))
		}
	}
}

// scalar reads a literal of one kind. The set function returns a problem or
// nil.
func scalar(want string, kind func(hujson.Literal) bool, set func(hujson.Literal) validate.Problem) field {
	return func(d *decoder, value hujson.Value, path validate.Path) {
		d.offsets[path] = value.StartOffset
		literal, ok := value.Value.(hujson.Literal)
		if !ok || !kind(literal) {
			d.wrongType(value, path, want)
			return
		}
		if problem := set(literal); problem != nil {
			d.add(value.StartOffset, path, problem)
		}
	}
}

func isString(literal hujson.Literal) bool { return literal.Kind() == '"' }

func text[T ~string](into *T) field {
	return scalar("a string", isString, func(literal hujson.Literal) validate.Problem {
		*into = T(literal.String())
		return nil
	})
}

func boolean(into *bool) field {
	isBool := func(literal hujson.Literal) bool { return literal.Kind() == 't' || literal.Kind() == 'f' }
	return scalar("true or false", isBool, func(literal hujson.Literal) validate.Problem {
		*into = literal.Bool()
		return nil
	})
}

func whole[T ~int | ~int64](into *T) field {
	isWhole := func(literal hujson.Literal) bool {
		return literal.Kind() == '0' && !strings.ContainsAny(string(literal), ".eE")
	}
	return scalar("a whole number", isWhole, func(literal hujson.Literal) validate.Problem {
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil {
			return validate.Malformed{Value: string(literal), Reason: "the number is too large"}
		}
		*into = T(n)
		return nil
	})
}

func duration(into *time.Duration) field {
	return scalar(`a duration such as "150ms"`, isString, func(literal hujson.Literal) validate.Problem {
		parsed, err := time.ParseDuration(literal.String())
		if err != nil {
			return validate.Malformed{Value: literal.String(), Reason: `want a duration such as "150ms" or "24h"`}
		}
		*into = parsed
		return nil
	})
}

func address(into *netip.AddrPort) field {
	return scalar("an address", isString, func(literal hujson.Literal) validate.Problem {
		parsed, err := netip.ParseAddrPort(literal.String())
		if err != nil {
			return validate.Malformed{Value: literal.String(), Reason: "want an IP address and port such as 127.0.0.1:5432"}
		}
		*into = parsed
		return nil
	})
}

// choice is a name of a value in files.
type choice[T any] struct {
	name  string
	value T
}

func oneOf[T any](into *T, choices ...choice[T]) field {
	return scalar("a string", isString, func(literal hujson.Literal) validate.Problem {
		names := make([]string, len(choices))
		for i, c := range choices {
			if c.name == literal.String() {
				*into = c.value
				return nil
			}
			names[i] = c.name
		}
		return validate.Malformed{Value: literal.String(), Reason: "want one of " + strings.Join(names, ", ")}
	})
}

func (d *decoder) wrongType(value hujson.Value, path validate.Path, want string) {
	d.add(value.StartOffset, path, validate.WrongType{Want: want, Got: typeName(value)})
}

func typeName(value hujson.Value) string {
	switch value.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "the number " + value.Value.(hujson.Literal).String()
	case 'n':
		return "null"
	default:
		return value.Value.(hujson.Literal).String()
	}
}
