package sql

import (
	"strconv"
	"strings"
)

// Type is the type of a value.
type Type uint8

// Types of values. Unknown is the type of a quoted literal or a parameter before
// the context determines its type. Void is the type of functions without a
// result.
const (
	Unknown Type = iota
	Int4
	Int8
	Text
	Bool
	Float8
	Void
)

// String returns the type's name in SQL.
func (t Type) String() string {
	switch t {
	case Int4:
		return "integer"
	case Int8:
		return "bigint"
	case Text:
		return "text"
	case Bool:
		return "boolean"
	case Float8:
		return "double precision"
	case Void:
		return "void"
	case Unknown:
	}
	return "unknown"
}

// IsInteger reports whether values of the type are integers.
func (t Type) IsInteger() bool { return t == Int4 || t == Int8 }

// Value is an SQL value. The zero value is NULL. The fields are exported for
// encoding/gob, with which servers replicate values.
type Value struct {
	Valid bool
	Type  Type
	Int   int64 // 0 or 1 for Bool
	Float float64
	Text  string
}

// IntValue returns an Int8 value.
func IntValue[T ~int | ~int64](n T) Value { return Value{Valid: true, Type: Int8, Int: int64(n)} }

// TextValue returns a Text value.
func TextValue[T ~string](s T) Value { return Value{Valid: true, Type: Text, Text: string(s)} }

// BoolValue returns a Bool value.
func BoolValue(b bool) Value {
	v := Value{Valid: true, Type: Bool}
	if b {
		v.Int = 1
	}
	return v
}

// String formats the value in the text format of the protocol.
func (v Value) String() string {
	switch v.Type {
	case Int4, Int8:
		return strconv.FormatInt(v.Int, 10)
	case Bool:
		if v.Int != 0 {
			return "t"
		}
		return "f"
	case Float8:
		return strconv.FormatFloat(v.Float, 'g', -1, 64)
	case Unknown, Text, Void:
	}
	return v.Text
}

// ParseValue parses a value of a type in the text format of the protocol.
func ParseValue(t Type, text string) (Value, error) {
	switch t {
	case Int4, Int8:
		return parseInt(t, text)
	case Bool:
		return parseBool(text)
	case Float8:
		f, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil {
			return Value{}, Errorf(InvalidText, "invalid input syntax for type double precision: %q", text)
		}
		return Value{Valid: true, Type: Float8, Float: f}, nil
	case Unknown, Text, Void:
	}
	return Value{Valid: true, Type: t, Text: text}, nil
}

func parseInt(t Type, text string) (Value, error) {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return Value{}, Errorf(InvalidText, "invalid input syntax for type %s: %q", t, text)
	}
	return checkRange(t, n)
}

// checkRange returns n as a value of an integer type, or an error if n is out of
// range.
func checkRange(t Type, n int64) (Value, error) {
	if t == Int4 && int64(int32(n)) != n {
		return Value{}, Errorf(NumericOutOfRange, "integer out of range")
	}
	return Value{Valid: true, Type: t, Int: n}, nil
}

func parseBool(text string) (Value, error) {
	switch strings.ToLower(strings.TrimSpace(text)) {
	case "t", "true", "y", "yes", "on", "1":
		return BoolValue(true), nil
	case "f", "false", "n", "no", "off", "0":
		return BoolValue(false), nil
	}
	return Value{}, Errorf(InvalidText, "invalid input syntax for type boolean: %q", text)
}

// Convert converts a value to the type of a column or parameter. A quoted literal
// converts to any type, an integer to any numeric type whose range contains it.
func (v Value) Convert(t Type) (Value, error) {
	switch {
	case !v.Valid || v.Type == t || t == Unknown:
		return v, nil
	case v.Type == Unknown:
		return ParseValue(t, v.Text)
	case v.Type.IsInteger() && t.IsInteger():
		return checkRange(t, v.Int)
	case v.Type.IsInteger() && t == Float8:
		return Value{Valid: true, Type: Float8, Float: float64(v.Int)}, nil
	}
	return Value{}, Errorf(DatatypeMismatch, "expression is of type %s but type %s is expected", v.Type, t)
}

// Cast converts a value like Convert, or else by formatting it as text and parsing
// the text.
func (v Value) Cast(t Type) (Value, error) {
	if !v.Valid {
		return v, nil
	}
	if converted, err := v.Convert(t); err == nil {
		return converted, nil
	}
	return ParseValue(t, v.String())
}
