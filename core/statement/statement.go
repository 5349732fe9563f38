// Package statement classifies SQL statements, mainly by their leading keyword.
// It owns the classes and the properties of a statement that routing needs. It
// examines tokens only and does not parse SQL: a statement that it cannot
// classify with certainty is Other, which is treated as a write.
package statement

import "strings"

// Class determines how a statement is routed.
type Class int

// Classes of a statement.
const (
	// Other is any statement of none of the classes below, or of unknown
	// class. It is treated as a write.
	Other Class = iota
	Read
	Write
	Begin
	Commit
	Rollback
	// SessionSetting changes or reads the state of the session other than the
	// settings of KeyedSetting.
	SessionSetting
	// KeyedSetting sets or shows basilmill.request_key or basilmill.token. The
	// entry host processes it without a backend server.
	KeyedSetting
)

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case Read:
		return "Read"
	case Write:
		return "Write"
	case Begin:
		return "Begin"
	case Commit:
		return "Commit"
	case Rollback:
		return "Rollback"
	case SessionSetting:
		return "SessionSetting"
	case KeyedSetting:
		return "KeyedSetting"
	default:
		return "Other"
	}
}

// Names of the settings that the entry host implements itself.
const (
	RequestKey = "basilmill.request_key"
	Token      = "basilmill.token"
)

// Setting is the content of a KeyedSetting: an assignment to one of the entry
// host's own settings, or a SHOW of it.
type Setting struct {
	Name  string
	Value string
	// Show is true for SHOW. Otherwise the statement assigns Value, which is
	// empty for RESET and DEFAULT.
	Show bool
}

// Statement holds the properties of a query text that routing needs. A text may
// contain several SQL statements.
type Statement struct {
	Class Class
	// ReadOnly is true for BEGIN READ ONLY.
	ReadOnly bool
	// Pins is true if the statement may leave state on its connection beyond
	// the end of the transaction, which binds the session to the connection.
	Pins bool
	// Unpins is true for DISCARD ALL, which removes that state.
	Unpins bool
	// Deallocates is true for DEALLOCATE. Deallocated is the name of the
	// prepared statement, or empty for DEALLOCATE ALL.
	Deallocates bool
	Deallocated string
	// CallsFunction is true if a Read calls a function that may write.
	CallsFunction bool
	// CopyIn is true for COPY FROM STDIN.
	CopyIn bool
	// Multiple is true if the text contains more than one statement.
	Multiple bool
	// EndsTransaction is true if the text may end a transaction.
	EndsTransaction bool
	// SetsRequestKey is true if the text assigns the request key in a way that
	// the entry host does not support.
	SetsRequestKey bool
	Setting        Setting
}

// Classify returns the properties of a query text. Several statements are
// together a Read if each of them is a Read, and Other otherwise.
func Classify(sql string) Statement {
	tokens, ok := scan(sql)
	if !ok {
		return Statement{Class: Other, Pins: true, Multiple: true, EndsTransaction: true}
	}
	parts := splitStatements(tokens)
	if len(parts) == 0 {
		return Statement{Class: Read}
	}
	first := classify(parts[0])
	if len(parts) == 1 {
		return first
	}
	return combine(first, parts[1:])
}

// combine merges the properties of the first statement with those of the rest.
func combine(combined Statement, rest [][]token) Statement {
	combined.Multiple = true
	for _, part := range rest {
		s := classify(part)
		if s.Class != Read || combined.Class != Read {
			combined.SetsRequestKey = combined.SetsRequestKey || s.Setting.Name == RequestKey || combined.Setting.Name == RequestKey
			combined.Class = Other
		}
		combined.Pins = combined.Pins || s.Pins
		combined.CallsFunction = combined.CallsFunction || s.CallsFunction
		combined.CopyIn = combined.CopyIn || s.CopyIn
		combined.EndsTransaction = combined.EndsTransaction || s.EndsTransaction
		combined.SetsRequestKey = combined.SetsRequestKey || s.SetsRequestKey
	}
	// These properties hold for certain only if the text is a single statement.
	combined.Unpins, combined.ReadOnly, combined.Deallocates, combined.Setting = false, false, false, Setting{}
	return combined
}

// classify returns the properties of a single statement.
func classify(t []token) Statement {
	switch t[0].word {
	case "select", "table", "values", "with", "(":
		return classifySelect(t)
	case "show":
		return classifyShow(t)
	case "explain":
		if containsWord(t, "analyze", "analyse") { //nolint:misspell // SQL keyword
			return Statement{Class: Write}
		}
		return Statement{Class: Read}
	case "begin", "start":
		return Statement{Class: Begin, ReadOnly: containsPair(t, "read", "only") && !containsPair(t, "read", "write")}
	case "commit", "end", "rollback", "abort":
		return classifyEnd(t)
	case "set":
		return classifySet(t)
	case "reset":
		return classifyReset(t)
	case "discard":
		return Statement{Class: SessionSetting, Unpins: word(t, 1) == "all"}
	case "deallocate":
		return classifyDeallocate(t)
	case "prepare":
		if word(t, 1) == "transaction" {
			return Statement{Class: Commit, EndsTransaction: true}
		}
		return Statement{Class: SessionSetting, Pins: true}
	case "listen", "load":
		return Statement{Class: SessionSetting, Pins: true}
	case "unlisten":
		return Statement{Class: SessionSetting}
	default:
		return classifyWrite(t)
	}
}

func classifySelect(t []token) Statement {
	s := Statement{Class: Read, CallsFunction: callsUnknownFunction(t)}
	switch {
	case containsWord(t, "insert", "update", "delete", "merge", "into", "nextval", "setval", "pg_notify"),
		containsPair(t, "for", "share"), containsPair(t, "for", "no"), containsPair(t, "for", "key"):
		s.Class = Write
	}
	s.Pins = containsWord(t, "pg_temp") || containsPair(t, "into", "temp") || containsPair(t, "into", "temporary")
	for i, token := range t {
		if word(t, i+1) != "(" {
			continue
		}
		switch name := token.word; {
		case strings.HasPrefix(name, "pg_advisory_xact") || strings.HasPrefix(name, "pg_try_advisory_xact"):
			s.Class = Write
		case strings.HasPrefix(name, "pg_advisory") || strings.HasPrefix(name, "pg_try_advisory"):
			s.Class, s.Pins = Write, true
		case name == "set_config":
			s.Class, s.Pins = Other, true
			s.SetsRequestKey = strings.EqualFold(word(t, i+2), RequestKey) || !t[min(i+2, len(t)-1)].literal
		}
	}
	return s
}

func classifyShow(t []token) Statement {
	if name := settingName(t, 1); name == RequestKey || name == Token {
		return Statement{Class: KeyedSetting, Setting: Setting{Name: name, Show: true}}
	}
	return Statement{Class: Read}
}

func classifyEnd(t []token) Statement {
	s := Statement{Class: Rollback, EndsTransaction: true}
	if t[0].word == "commit" || t[0].word == "end" {
		s.Class = Commit
	}
	switch {
	case containsWord(t, "prepared"):
		return Statement{Class: Write}
	case s.Class == Rollback && containsWord(t, "to"):
		return Statement{Class: Other}
	}
	return s
}

func classifySet(t []token) Statement {
	i := 1
	local := word(t, i) == "local"
	if local || word(t, i) == "session" {
		i++
	}
	name := settingName(t, i)
	if name == RequestKey || name == Token {
		return classifyAssignment(t, i, name)
	}
	if local || (i == 1 && (name == "transaction" || name == "constraints")) {
		return Statement{Class: SessionSetting}
	}
	return Statement{Class: SessionSetting, Pins: true}
}

// classifyAssignment classifies a SET of one of the entry host's settings. The
// setting's name starts at token i and may be quoted as a whole.
func classifyAssignment(t []token, i int, name string) Statement {
	setting := Setting{Name: name}
	i++
	if word(t, i) == "." {
		i += 2
	}
	if len(t) != i+2 || (t[i].word != "=" && t[i].word != "to") {
		return Statement{Class: Other, SetsRequestKey: true}
	}
	if t[i+1].literal || t[i+1].word != "default" {
		setting.Value = t[i+1].word
	}
	return Statement{Class: KeyedSetting, Setting: setting}
}

func classifyReset(t []token) Statement {
	if name := settingName(t, 1); name == RequestKey || name == Token {
		return Statement{Class: KeyedSetting, Setting: Setting{Name: name}}
	}
	return Statement{Class: SessionSetting}
}

func classifyDeallocate(t []token) Statement {
	i := 1
	if word(t, i) == "prepare" {
		i++
	}
	s := Statement{Class: SessionSetting, Deallocates: true}
	if i < len(t) && (t[i].quoted || t[i].word != "all") {
		s.Deallocated = t[i].word
	}
	return s
}

// temporaryPrefixTokens is the number of tokens of CREATE OR REPLACE LOCAL
// TEMPORARY. A later TEMP or TEMPORARY is a name.
const temporaryPrefixTokens = 5

func classifyWrite(t []token) Statement {
	switch t[0].word {
	case "insert", "update", "delete", "merge", "truncate", "alter", "drop", "grant", "revoke", "comment",
		"call", "do", "lock", "reindex", "vacuum", "analyze", "cluster", "refresh", "notify": //nolint:misspell // SQL keyword
		return Statement{Class: Write, Pins: containsWord(t, "pg_temp") || changesSession(t)}
	case "create":
		return Statement{Class: Write, Pins: containsWord(t, "pg_temp") || containsWord(t[:min(len(t), temporaryPrefixTokens)], "temp", "temporary")}
	case "copy":
		return Statement{Class: Write, CopyIn: containsPair(t, "from", "stdin")}
	case "declare":
		return Statement{Class: Other, Pins: containsPair(t, "with", "hold")}
	case "savepoint", "release", "fetch", "move", "close":
		return Statement{Class: Other}
	default:
		return Statement{Class: Other, Pins: true}
	}
}

// changesSession reports whether a write calls a function that changes the state
// of the session.
func changesSession(t []token) bool {
	for _, token := range t {
		name := token.word
		if name == "set_config" || strings.HasPrefix(name, "pg_advisory_lock") || strings.HasPrefix(name, "pg_try_advisory_lock") {
			return true
		}
	}
	return false
}

// settingName returns the name that starts at token i, which may have two parts
// separated by a dot, in lower case.
func settingName(t []token, i int) string {
	if word(t, i+1) == "." {
		return strings.ToLower(word(t, i) + "." + word(t, i+2))
	}
	return strings.ToLower(word(t, i))
}

// word returns the word of token i, or the empty string beyond the last token.
func word(t []token, i int) string {
	if i >= len(t) {
		return ""
	}
	return t[i].word
}

// containsWord reports whether one of the words occurs as an unquoted word or as
// a quoted name.
func containsWord(t []token, words ...string) bool {
	for _, token := range t {
		for _, w := range words {
			if token.word == w && !token.literal {
				return true
			}
		}
	}
	return false
}

// containsPair reports whether first occurs, not as a literal, directly before
// second.
func containsPair(t []token, first, second string) bool {
	for i := range t {
		if t[i].word == first && !t[i].literal && word(t, i+1) == second {
			return true
		}
	}
	return false
}

// nonWritingWords lists words that may stand before an opening parenthesis without
// calling a function that writes: keywords, type names and common built-in
// functions.
//
//nolint:misspell // SQL keywords
var nonWritingWords = wordSet(`
	all and any array as asc between by case cast check char character
	coalesce cross decimal desc distinct else except exists extract filter from
	full group grouping having ilike in inner interval intersect is join lateral
	left like limit materialized natural not nullif numeric offset on or order
	over overlay partition position precision recursive right row rows select
	similar some substring table then time timestamp treat trim union using
	values varchar when where with within
	abs array_agg avg bool_and bool_or bit_length btrim ceil char_length concat
	count date_part date_trunc dense_rank floor format first_value greatest
	initcap json_agg json_build_object jsonb_agg jsonb_build_object lag
	last_value lead least left length lower lpad ltrim max md5 min mod now
	ntile power rank regexp_replace repeat replace reverse right round
	row_number row_to_json rpad rtrim sign split_part sqrt string_agg strpos
	substr sum to_char to_date to_json to_jsonb to_number to_timestamp trunc
	unnest upper current_database current_schema version generate_series`)

// wordSet returns the set of the words in a list separated by white space.
func wordSet(list string) map[string]bool {
	set := map[string]bool{}
	for w := range strings.FieldsSeq(list) {
		set[w] = true
	}
	return set
}

// callsUnknownFunction reports whether the statement calls a function that is not
// known to be free of writes.
func callsUnknownFunction(t []token) bool {
	for i := range t {
		if word(t, i+1) == "(" && t[i].isName() && (t[i].quoted || !nonWritingWords[t[i].word]) {
			return true
		}
	}
	return false
}
