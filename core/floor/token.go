package floor

import (
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
)

// MaxTokenLength bounds the text of a token, in bytes.
const MaxTokenLength = 128

// ErrMalformedToken reports a text that is not a valid token.
var ErrMalformedToken = errors.New("not a token of the form group/term/offset")

// Token is a session's floor in the form in which a caller carries it from one
// host to another.
type Token struct {
	Group    group.ID
	Position group.Position
}

// String returns the token as group/term/offset.
func (t Token) String() string {
	return string(t.Group) + "/" +
		strconv.FormatInt(int64(t.Position.Term), 10) + "/" +
		strconv.FormatInt(int64(t.Position.Offset), 10)
}

// ParseToken parses the text of a token. It accepts exactly the texts that
// String returns for a group name of letters, digits, '-', '_' and '.', a term
// of at least one and an offset of at least zero. The caller must check that
// the group is the session's.
func ParseToken(text string) (token Token, err error) {
	defer func() { err = eris.Wrap(err, "parse token") }()
	if len(text) > MaxTokenLength {
		return Token{}, ErrMalformedToken
	}
	fields := strings.Split(text, "/")
	if len(fields) != 3 || !validGroup(fields[0]) {
		return Token{}, ErrMalformedToken
	}
	term, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil || term < 1 {
		return Token{}, ErrMalformedToken
	}
	offset, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil || offset < 0 {
		return Token{}, ErrMalformedToken
	}
	token = Token{group.ID(fields[0]), group.Position{Term: group.Term(term), Offset: group.Offset(offset)}}
	if token.String() != text {
		return Token{}, ErrMalformedToken
	}
	return token, nil
}

func validGroup(name string) bool {
	return name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

// Raise returns the higher of two floors. A server that contains the higher one
// also contains every acknowledged write up to the lower one, because a term
// starts after all acknowledged writes of earlier terms.
func Raise(floor, p group.Position) group.Position {
	if p.Compare(floor) > 0 {
		return p
	}
	return floor
}
