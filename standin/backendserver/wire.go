package backendserver

import (
	"encoding/binary"
	"math"

	"github.com/jackc/pgx/v5/pgtype"

	"basilmill/standin/internal/sql"
)

// Format codes of the protocol.
const (
	textFormat   int16 = 0
	binaryFormat int16 = 1
)

// voidOID is the object id of void, which pgtype does not define.
const voidOID = 2278

// typeOfOID returns the type with an object id that a client declared for a
// parameter. Types without a representation of their own are Text.
func typeOfOID(oid uint32) sql.Type {
	switch oid {
	case 0:
		return sql.Unknown
	case pgtype.Int2OID, pgtype.Int4OID:
		return sql.Int4
	case pgtype.Int8OID:
		return sql.Int8
	case pgtype.BoolOID:
		return sql.Bool
	case pgtype.Float8OID:
		return sql.Float8
	}
	return sql.Text
}

// describeType returns the object id and the size of a type.
func describeType(t sql.Type) (oid uint32, size int16) {
	switch t {
	case sql.Int4:
		return pgtype.Int4OID, 4
	case sql.Int8:
		return pgtype.Int8OID, 8
	case sql.Bool:
		return pgtype.BoolOID, 1
	case sql.Float8:
		return pgtype.Float8OID, 8
	case sql.Void:
		return voidOID, 4
	case sql.Unknown, sql.Text:
	}
	return pgtype.TextOID, -1
}

// formatAt returns the format code of the parameter or column with index i. A
// single code applies to all, and none means text.
func formatAt(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return textFormat
}

// encode encodes a value of a result column with type t in a format; nil is
// NULL. The type of the value may be narrower than t, such as an int in a bigint
// column.
func encode(v sql.Value, t sql.Type, format int16) []byte {
	if !v.Valid {
		return nil
	}
	if format != binaryFormat {
		return []byte(v.String())
	}
	switch t {
	case sql.Int4:
		return binary.BigEndian.AppendUint32(nil, uint32(v.Int))
	case sql.Int8:
		return binary.BigEndian.AppendUint64(nil, uint64(v.Int))
	case sql.Bool:
		return []byte{byte(v.Int)}
	case sql.Float8:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(v.Float))
	case sql.Unknown, sql.Text, sql.Void:
	}
	return []byte(v.Text)
}

// decode decodes a parameter; nil is NULL.
func decode(data []byte, t sql.Type, format int16) (sql.Value, error) {
	if data == nil {
		return sql.Value{}, nil
	}
	if format != binaryFormat {
		return sql.ParseValue(t, string(data))
	}
	switch t {
	case sql.Int4, sql.Int8:
		return decodeInt(data, t)
	case sql.Bool:
		if len(data) == 1 {
			return sql.BoolValue(data[0] != 0), nil
		}
	case sql.Float8:
		if len(data) == 8 {
			f := math.Float64frombits(binary.BigEndian.Uint64(data))
			return sql.Value{Valid: true, Type: sql.Float8, Float: f}, nil
		}
	case sql.Unknown, sql.Text, sql.Void:
		return sql.TextValue(string(data)), nil
	}
	return sql.Value{}, errInvalidBinary(t)
}

func decodeInt(data []byte, t sql.Type) (sql.Value, error) {
	v := sql.Value{Valid: true, Type: t}
	switch len(data) {
	case 2:
		v.Int = int64(int16(binary.BigEndian.Uint16(data)))
	case 4:
		v.Int = int64(int32(binary.BigEndian.Uint32(data)))
	case 8:
		v.Int = int64(binary.BigEndian.Uint64(data))
	default:
		return sql.Value{}, errInvalidBinary(t)
	}
	return v, nil
}

func errInvalidBinary(t sql.Type) error {
	return sql.Errorf(sql.InvalidBinary, "incorrect binary data format for type %s", t)
}
