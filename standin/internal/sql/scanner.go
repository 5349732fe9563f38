package sql

import (
	"strings"
)

type tokenKind int

const (
	endToken    tokenKind = iota
	wordToken             // unquoted identifier or keyword, in lower case
	quotedToken           // "quoted" identifier
	stringToken
	integerToken
	decimalToken
	paramToken // $n; text holds the digits
	symbolToken
)

// token is a lexical token of SQL. Text holds identifiers and literals without
// quotes.
type token struct {
	kind tokenKind
	text string
}

// String describes the token for error messages.
func (t token) String() string {
	if t.kind == endToken {
		return "end of input"
	}
	return `"` + t.text + `"`
}

// scan splits the text of a query into tokens.
func scan(query string) ([]token, error) {
	s := scanner{input: query}
	for {
		s.skipBlanksAndComments()
		if s.offset >= len(s.input) {
			return s.tokens, nil
		}
		if err := s.scanToken(); err != nil {
			return nil, err
		}
	}
}

// scanner holds the input and the tokens scanned so far.
type scanner struct {
	input  string
	offset int
	tokens []token
}

func (s *scanner) rest() string { return s.input[s.offset:] }

// emit appends a token and moves past its text in the input.
func (s *scanner) emit(kind tokenKind, text string, length int) {
	s.tokens = append(s.tokens, token{kind, text})
	s.offset += length
}

func (s *scanner) skipBlanksAndComments() {
	for s.offset < len(s.input) {
		rest := s.rest()
		switch {
		case strings.IndexByte(" \t\r\n\f", rest[0]) >= 0:
			s.offset++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				end = len(rest) - 1
			}
			s.offset += end + 1
		case strings.HasPrefix(rest, "/*"):
			end := strings.Index(rest, "*/")
			if end < 0 {
				end = len(rest) - 2
			}
			s.offset += end + 2
		default:
			return
		}
	}
}

func (s *scanner) scanToken() error {
	rest := s.rest()
	c := rest[0]
	switch {
	case c == '\'':
		return s.scanQuoted(stringToken, '\'')
	case c == '"':
		return s.scanQuoted(quotedToken, '"')
	case c == '$' && len(rest) > 1 && isDigit(rest[1]):
		n := 1 + prefixLength(rest[1:], isDigit)
		s.emit(paramToken, rest[1:n], n)
	case isDigit(c):
		s.scanNumber(rest)
	case isLetter(c):
		n := prefixLength(rest, func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
		s.emit(wordToken, strings.ToLower(rest[:n]), n)
	default:
		return s.scanSymbol(rest)
	}
	return nil
}

func (s *scanner) scanQuoted(kind tokenKind, quote byte) error {
	rest := s.rest()
	var text strings.Builder
	for i := 1; i < len(rest); i++ {
		if rest[i] != quote {
			text.WriteByte(rest[i])
			continue
		}
		if i+1 < len(rest) && rest[i+1] == quote {
			text.WriteByte(quote)
			i++
			continue
		}
		s.emit(kind, text.String(), i+1)
		return nil
	}
	return Errorf(SyntaxError, "unterminated quoted text")
}

func (s *scanner) scanNumber(rest string) {
	n := prefixLength(rest, isDigit)
	if n+1 < len(rest) && rest[n] == '.' && isDigit(rest[n+1]) {
		n += 1 + prefixLength(rest[n+1:], isDigit)
		s.emit(decimalToken, rest[:n], n)
		return
	}
	s.emit(integerToken, rest[:n], n)
}

func (s *scanner) scanSymbol(rest string) error {
	for _, symbol := range []string{"<=", ">=", "<>", "!=", "::"} {
		if strings.HasPrefix(rest, symbol) {
			s.emit(symbolToken, symbol, len(symbol))
			return nil
		}
	}
	if strings.IndexByte("(),;.*=<>+-", rest[0]) < 0 {
		return Errorf(SyntaxError, "syntax error at or near %q", rest[:1])
	}
	s.emit(symbolToken, rest[:1], 1)
	return nil
}

// prefixLength returns the length of the longest prefix whose bytes all match.
func prefixLength(s string, matches func(byte) bool) int {
	for i := range len(s) {
		if !matches(s[i]) {
			return i
		}
	}
	return len(s)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
