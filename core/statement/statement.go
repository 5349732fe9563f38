// Package statement classifies SQL statements by their leading keyword. It
// owns the classes and the facts about a statement that routing needs. It
// reads tokens only and is no SQL parser: whatever it is unsure of is Other,
// which is treated as a write.
package statement

import "strings"

// Class says how a statement is routed.
type Class int

// Classes of a statement.
const (
	// Other is anything that is not recognised. It is treated as a write.
	Other Class = iota
	Read
	Write
	Begin
	Commit
	Rollback
	// SessionSetting changes or reads the state of the session.
	SessionSetting
	// KeyedSetting sets or shows basilmill.request_key or basilmill.token,
	// which the entry host answers itself.
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

// Names of the settings that the entry host answers itself.
const (
	RequestKey = "basilmill.request_key"
	Token      = "basilmill.token"
)

// Setting is a statement about one of the entry host's own settings.
type Setting struct {
	Name  string
	Value string
	// Show is set for SHOW. Otherwise the statement assigns Value; RESET and
	// DEFAULT assign the empty value.
	Show bool
}

// Statement is what is known about the text of a query.
type Statement struct {
	Class Class
	// ReadOnly is set for BEGIN READ ONLY.
	ReadOnly bool
	// Pins is set when the statement leaves state on its connection beyond
	// the end of the transaction.
	Pins bool
	// Unpins is set for DISCARD ALL, which removes that state.
	Unpins bool
	// Deallocates is set for DEALLOCATE; Deallocated names the statement and
	// is empty for all.
	Deallocates bool
	Deallocated string
	// CallsFunction is set when a Read calls a function that may write.
	CallsFunction bool
	// CopyIn is set for COPY FROM STDIN.
	CopyIn bool
	// Multiple is set when the text holds more than one statement.
	Multiple bool
	// EndsTransaction is set when the text may end a transaction.
	EndsTransaction bool
	// SetsRequestKey is set when the text assigns the request key in a way that the
	// entry host cannot apply.
	SetsRequestKey bool
	Setting        Setting
}

// Classify returns what is known about a query text. Several statements
// together are a Read when each one is, and Other in all other cases.
func Classify(sql string) Statement {
	tokens, ok := scan(sql)
	if !ok {
		return Statement{Class: Other, Pins: true, Multiple: true, EndsTransaction: true}
	}
	parts := split(tokens)
	if len(parts) == 0 {
		return Statement{Class: Read}
	}
	first := classify(parts[0])
	if len(parts) == 1 {
		return first
	}
	return combine(first, parts[1:])
}

func combine(all Statement, rest [][]token) Statement {
	all.Multiple = true
	for _, part := range rest {
		s := classify(part)
		if s.Class != Read || all.Class != Read {
			all.SetsRequestKey = all.SetsRequestKey || s.Setting.Name == RequestKey || all.Setting.Name == RequestKey
			all.Class = Other
		}
		all.Pins = all.Pins || s.Pins
		all.CallsFunction = all.CallsFunction || s.CallsFunction
		all.CopyIn = all.CopyIn || s.CopyIn
		all.EndsTransaction = all.EndsTransaction || s.EndsTransaction
		all.SetsRequestKey = all.SetsRequestKey || s.SetsRequestKey
	}
	// Only a statement on its own is certain to remove the state.
	all.Unpins, all.ReadOnly, all.Deallocates, all.Setting = false, false, false, Setting{}
	return all
}

func classify(t []token) Statement {
	switch t[0].word {
	case "select", "table", "values", "with", "(":
		return classifySelect(t)
	case "show":
		return classifyShow(t)
	case "explain":
		if contains(t, "analyze", "analyse") { //nolint:misspell // SQL keyword
			return Statement{Class: Write}
		}
		return Statement{Class: Read}
	case "begin", "start":
		return Statement{Class: Begin, ReadOnly: follows(t, "read", "only") && !follows(t, "read", "write")}
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
	s := Statement{Class: Read, CallsFunction: calls(t)}
	switch {
	case contains(t, "insert", "update", "delete", "merge", "into", "nextval", "setval", "pg_notify"),
		follows(t, "for", "share"), follows(t, "for", "no"), follows(t, "for", "key"):
		s.Class = Write
	}
	s.Pins = contains(t, "pg_temp") || follows(t, "into", "temp") || follows(t, "into", "temporary")
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
	case contains(t, "prepared"):
		return Statement{Class: Write}
	case s.Class == Rollback && contains(t, "to"):
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
		return assignment(t, i, name)
	}
	if local || (i == 1 && (name == "transaction" || name == "constraints")) {
		return Statement{Class: SessionSetting}
	}
	return Statement{Class: SessionSetting, Pins: true}
}

// assignment reads the value after the name of one of the host's settings,
// which starts at token i and may be quoted as a whole.
func assignment(t []token, i int, name string) Statement {
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

// maxTemporary is the number of tokens of CREATE OR REPLACE LOCAL TEMPORARY;
// after these the word is a name.
const maxTemporary = 5

func classifyWrite(t []token) Statement {
	switch t[0].word {
	case "insert", "update", "delete", "merge", "truncate", "alter", "drop", "grant", "revoke", "comment",
		"call", "do", "lock", "reindex", "vacuum", "analyze", "cluster", "refresh", "notify": //nolint:misspell // SQL keyword
		return Statement{Class: Write, Pins: contains(t, "pg_temp") || callsSession(t)}
	case "create":
		return Statement{Class: Write, Pins: contains(t, "pg_temp") || contains(t[:min(len(t), maxTemporary)], "temp", "temporary")}
	case "copy":
		return Statement{Class: Write, CopyIn: follows(t, "from", "stdin")}
	case "declare":
		return Statement{Class: Other, Pins: follows(t, "with", "hold")}
	case "savepoint", "release", "fetch", "move", "close":
		return Statement{Class: Other}
	default:
		return Statement{Class: Other, Pins: true}
	}
}

// callsSession reports whether a write calls a function that changes the
// state of the session.
func callsSession(t []token) bool {
	for _, token := range t {
		name := token.word
		if name == "set_config" || strings.HasPrefix(name, "pg_advisory_lock") || strings.HasPrefix(name, "pg_try_advisory_lock") {
			return true
		}
	}
	return false
}

// settingName returns the dotted name that starts at token i, in lower case.
func settingName(t []token, i int) string {
	if word(t, i+1) == "." {
		return strings.ToLower(word(t, i) + "." + word(t, i+2))
	}
	return strings.ToLower(word(t, i))
}

func word(t []token, i int) string {
	if i >= len(t) {
		return ""
	}
	return t[i].word
}

// contains reports whether one of the words occurs as a bare word or as a
// quoted name.
func contains(t []token, words ...string) bool {
	for _, token := range t {
		for _, w := range words {
			if token.word == w && !token.literal {
				return true
			}
		}
	}
	return false
}

func follows(t []token, first, second string) bool {
	for i := range t {
		if t[i].word == first && !t[i].literal && word(t, i+1) == second {
			return true
		}
	}
	return false
}

// harmless lists words before an opening parenthesis that call no function
// that can write: keywords, type names and common built-in functions.
//
//nolint:misspell // SQL keywords
var harmless = wordSet(`
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

func wordSet(list string) map[string]bool {
	set := map[string]bool{}
	for w := range strings.FieldsSeq(list) {
		set[w] = true
	}
	return set
}

func calls(t []token) bool {
	for i := range t {
		if word(t, i+1) == "(" && t[i].isName() && (t[i].quoted || !harmless[t[i].word]) {
			return true
		}
	}
	return false
}
