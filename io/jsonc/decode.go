// Package jsonc decodes the files that operators write, which are JSON with
// comments: the settings of a host, the templates of client accounts and the
// definitions of database groups. It reports all faults of a file at once, each
// with its line and column.
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

// MaxBytes is the maximum size of a file. It also bounds the recursion depth of
// the parser.
const MaxBytes = 256 << 10

// maxFaults is the maximum number of faults that are reported for one file.
const maxFaults = 100

// field decodes a value into the variable that it was created for, and adds the
// value's faults to the decoder.
type field func(d *decoder, value hujson.Value, path validate.Path)

// fields maps the keys of an object to the decoders of their values.
type fields map[string]field

// decoder collects the faults of a document and the byte offsets of its values.
type decoder struct {
	faults []offsetFault
	// faultyPaths are the paths of the faults, including those beyond maxFaults.
	faultyPaths map[validate.Path]bool
	offsets     map[validate.Path]int
}

// decode decodes a document whose root is an object, then adds the faults that
// check finds in the result. The error is an *Error.
func decode(data []byte, root fields, check func() validate.Faults) error {
	if len(data) > MaxBytes {
		return locate(nil, []offsetFault{{fault: validate.Fault{Problem: validate.OutOfRange{
			Value: fmt.Sprintf("the size, %d bytes,", len(data)), Min: "0", Max: strconv.Itoa(MaxBytes),
		}}}})
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return syntaxError(data, err)
	}
	d := &decoder{faultyPaths: make(map[validate.Path]bool), offsets: make(map[validate.Path]int)}
	object(root)(d, value, "")
	for _, fault := range check() {
		d.addChecked(fault)
	}
	return locate(data, d.faults)
}

// syntaxError converts the parser's error, which states its position in the text
// only and counts columns in bytes.
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
	return locate(data, []offsetFault{{offset: offsetOf(data, line, column), fault: fault}})
}

func (d *decoder) add(offset int, path validate.Path, problem validate.Problem) {
	d.faultyPaths[path] = true
	if len(d.faults) < maxFaults {
		d.faults = append(d.faults, offsetFault{offset: offset, fault: validate.Fault{Path: path, Problem: problem}})
	}
}

// addChecked adds a fault of a decoded value, unless the value or one that
// contains it has a fault already. The position of an absent value is that of the
// object that should contain it.
func (d *decoder) addChecked(fault validate.Fault) {
	offset, found := 0, false
	for path := fault.Path; ; path = path.Parent() {
		if d.faultyPaths[path] && path != "" {
			return
		}
		if known, ok := d.offsets[path]; ok && !found {
			offset, found = known, true
		}
		if path == "" {
			break
		}
	}
	d.add(offset, fault.Path, fault.Problem)
}

// object returns a field that decodes the members of an object.
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
	decodeValue, known := members[key]
	path = path.Field(key)
	switch {
	case !known:
		d.add(member.Name.StartOffset, path, validate.UnknownKey{Suggestion: members.suggest(key)})
	case seen[key]:
		d.add(member.Name.StartOffset, path, validate.DuplicateKey{})
	default:
		seen[key] = true
		decodeValue(d, member.Value, path)
	}
}

// suggest returns the known key that differs from key only in case, or "".
func (f fields) suggest(key string) string {
	for known := range f {
		if strings.EqualFold(known, key) {
			return known
		}
	}
	return ""
}

// list returns a field that decodes an array. The element function sets the
// defaults of an element and returns its field.
func list[T any](target *[]T, element func(*T) field) field {
	return func(d *decoder, value hujson.Value, path validate.Path) {
		d.offsets[path] = value.StartOffset
		parsed, ok := value.Value.(*hujson.Array)
		if !ok {
			d.wrongType(value, path, "a list")
			return
		}
		*target = make([]T, len(parsed.Elements))
		for i, item := range parsed.Elements {
			element(&(*target)[i])(d, item, path.Index(i))
		}
	}
}

// scalar returns a field that decodes a literal. The literal must satisfy
// isWanted; want describes the type in faults. The set function stores the value
// and returns a problem or nil.
func scalar(want string, isWanted func(hujson.Literal) bool, set func(hujson.Literal) validate.Problem) field {
	return func(d *decoder, value hujson.Value, path validate.Path) {
		d.offsets[path] = value.StartOffset
		literal, ok := value.Value.(hujson.Literal)
		if !ok || !isWanted(literal) {
			d.wrongType(value, path, want)
			return
		}
		if problem := set(literal); problem != nil {
			d.add(value.StartOffset, path, problem)
		}
	}
}

func isString(literal hujson.Literal) bool { return literal.Kind() == '"' }

func text[T ~string](target *T) field {
	return scalar("a string", isString, func(literal hujson.Literal) validate.Problem {
		*target = T(literal.String())
		return nil
	})
}

func boolean(target *bool) field {
	isBool := func(literal hujson.Literal) bool { return literal.Kind() == 't' || literal.Kind() == 'f' }
	return scalar("true or false", isBool, func(literal hujson.Literal) validate.Problem {
		*target = literal.Bool()
		return nil
	})
}

func integer[T ~int | ~int64](target *T) field {
	isInteger := func(literal hujson.Literal) bool {
		return literal.Kind() == '0' && !strings.ContainsAny(string(literal), ".eE")
	}
	return scalar("a whole number", isInteger, func(literal hujson.Literal) validate.Problem {
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil {
			return validate.Malformed{Value: string(literal), Reason: "the number is too large"}
		}
		*target = T(n)
		return nil
	})
}

func duration(target *time.Duration) field {
	return scalar(`a duration such as "150ms"`, isString, func(literal hujson.Literal) validate.Problem {
		parsed, err := time.ParseDuration(literal.String())
		if err != nil {
			return validate.Malformed{Value: literal.String(), Reason: `want a duration such as "150ms" or "24h"`}
		}
		*target = parsed
		return nil
	})
}

func address(target *netip.AddrPort) field {
	return scalar("an address", isString, func(literal hujson.Literal) validate.Problem {
		parsed, err := netip.ParseAddrPort(literal.String())
		if err != nil {
			return validate.Malformed{Value: literal.String(), Reason: "want an IP address and port such as 127.0.0.1:5432"}
		}
		*target = parsed
		return nil
	})
}

// choice is a value with its name in files.
type choice[T any] struct {
	name  string
	value T
}

func oneOf[T any](target *T, choices ...choice[T]) field {
	return scalar("a string", isString, func(literal hujson.Literal) validate.Problem {
		names := make([]string, len(choices))
		for i, c := range choices {
			if c.name == literal.String() {
				*target = c.value
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
