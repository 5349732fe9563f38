package statement

import "strings"

// token is a word, a quoted name, a literal or a single punctuation character.
type token struct {
	// word is the text of the token: in lower case for unquoted words, without
	// quotes for quoted names and string literals.
	word    string
	quoted  bool
	literal bool
}

// isName reports whether the token can be the name of a function.
func (t token) isName() bool {
	return !t.literal && t.word != "" && (t.quoted || isWordStart(t.word[0]))
}

// scanner splits the text of a query into tokens.
type scanner struct {
	text   string // not yet scanned
	tokens []token
}

// scan splits the text into tokens and drops comments. It fails if the tokens
// depend on settings of the server or if a literal, a quoted name or a comment is
// not terminated.
func scan(sql string) (tokens []token, ok bool) {
	s := scanner{text: sql}
	for s.text != "" {
		if !s.next() {
			return nil, false
		}
	}
	return s.tokens, true
}

// next scans one token, comment or space. It reports whether it succeeded.
func (s *scanner) next() bool {
	c := s.text[0]
	switch {
	case isSpace(c):
		s.text = s.text[1:]
	case strings.HasPrefix(s.text, "--"):
		_, s.text, _ = strings.Cut(s.text, "\n")
	case strings.HasPrefix(s.text, "/*"):
		return s.comment()
	case c == '\'':
		return s.literal(false)
	case (c == 'e' || c == 'E') && strings.HasPrefix(s.text[1:], "'"):
		s.text = s.text[1:]
		return s.literal(true)
	case c == '"':
		return s.quotedName()
	case c == '$':
		return s.dollarSign()
	case isWordStart(c):
		s.word()
	case c >= '0' && c <= '9':
		s.number()
	default:
		s.tokens = append(s.tokens, token{word: s.text[:1]})
		s.text = s.text[1:]
	}
	return true
}

// comment skips a block comment. Block comments nest.
func (s *scanner) comment() bool {
	depth := 0
	for i := 0; i+1 < len(s.text); {
		switch s.text[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
		default:
			i++
		}
		if depth == 0 {
			s.text = s.text[i:]
			return true
		}
	}
	return false
}

// literal scans a string literal; escapes says that backslashes escape the next
// character. Otherwise it fails on a backslash before a quote, because the
// setting standard_conforming_strings decides whether the literal ends there.
func (s *scanner) literal(escapes bool) bool {
	var value strings.Builder
	for i := 1; i < len(s.text); i++ {
		switch c := s.text[i]; {
		case c == '\\' && escapes && i+1 < len(s.text):
			i++
			value.WriteByte(s.text[i])
		case c == '\\' && i+1 < len(s.text) && s.text[i+1] == '\'':
			return false
		case c == '\'' && i+1 < len(s.text) && s.text[i+1] == '\'':
			i++
			value.WriteByte(c)
		case c == '\'':
			s.tokens = append(s.tokens, token{word: value.String(), literal: true})
			s.text = s.text[i+1:]
			return true
		default:
			value.WriteByte(c)
		}
	}
	return false
}

// quotedName scans a name in double quotes.
func (s *scanner) quotedName() bool {
	end := 1
	for end < len(s.text) {
		i := strings.IndexByte(s.text[end:], '"')
		if i < 0 {
			return false
		}
		end += i + 1
		if end == len(s.text) || s.text[end] != '"' {
			name := strings.ReplaceAll(s.text[1:end-1], `""`, `"`)
			s.tokens = append(s.tokens, token{word: name, quoted: true})
			s.text = s.text[end:]
			return true
		}
		end++
	}
	return false
}

// dollarSign scans a parameter such as $1 or a dollar-quoted literal.
func (s *scanner) dollarSign() bool {
	end := 1
	for end < len(s.text) && isWordPart(s.text[end]) && s.text[end] != '$' {
		end++
	}
	if end == len(s.text) || s.text[end] != '$' || (end > 1 && !isWordStart(s.text[1])) {
		s.tokens = append(s.tokens, token{word: s.text[:end], literal: true})
		s.text = s.text[end:]
		return true
	}
	tag := s.text[:end+1]
	value, rest, found := strings.Cut(s.text[len(tag):], tag)
	s.tokens = append(s.tokens, token{word: value, literal: true})
	s.text = rest
	return found
}

// word scans an unquoted word.
func (s *scanner) word() {
	end := 1
	for end < len(s.text) && isWordPart(s.text[end]) {
		end++
	}
	s.tokens = append(s.tokens, token{word: strings.ToLower(s.text[:end])})
	s.text = s.text[end:]
}

// number scans a numeric literal, possibly with letters that follow it.
func (s *scanner) number() {
	end := 1
	for end < len(s.text) && (isWordPart(s.text[end]) || s.text[end] == '.') {
		end++
	}
	s.tokens = append(s.tokens, token{word: s.text[:end], literal: true})
	s.text = s.text[end:]
}

// splitStatements splits the tokens at semicolons and drops empty statements. It
// also splits at semicolons within the body of an SQL function, with the only
// effect that the text is taken for several statements.
func splitStatements(tokens []token) (parts [][]token) {
	start := 0
	for i := 0; i <= len(tokens); i++ {
		if i < len(tokens) && (tokens[i].word != ";" || tokens[i].literal || tokens[i].quoted) {
			continue
		}
		if i > start {
			parts = append(parts, tokens[start:i])
		}
		start = i + 1
	}
	return parts
}

func isSpace(c byte) bool {
	return c == ' ' || (c >= '\t' && c <= '\r')
}

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

func isWordPart(c byte) bool {
	return isWordStart(c) || c == '$' || (c >= '0' && c <= '9')
}
