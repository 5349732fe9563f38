package account

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"basilmill/core/group"
	"basilmill/core/validate"
)

// Revision numbers the accepted templates of an account, starting at 1. Zero
// means that the template has not been accepted yet.
type Revision int64

// Template is the configuration of a client account, as operators submit it.
type Template struct {
	ID       ID
	Revision Revision
	// Groups lists the database groups that the account uses.
	Groups   []Claim
	Verifier Verifier
	// ReadClasses defines which reads may return stale data. The first class
	// with a pattern that matches the statement applies. Reads that match no
	// class return current data.
	ReadClasses []ReadClass
	Sharing     Sharing
	// Slots is the number of concurrent transactions that one caller session
	// may hold open on a service.
	Slots int
	// ConfirmationTimeout bounds the time that a write waits for the
	// confirmation that the successor has received it. After that the caller
	// gets the error "outcome unknown".
	ConfirmationTimeout time.Duration
	// KeyRetention is how long request keys are stored.
	KeyRetention time.Duration
}

// Claim declares that a client account uses a database group, and how.
type Claim struct {
	Group group.ID
	// Databases lists the databases of the group that callers may connect to.
	Databases []string
	// ReadOnly means that the account does not write to the group.
	ReadOnly bool
	// Shared allows the group to be claimed by other accounts as well, if
	// their claims are also shared.
	Shared bool
}

// ReadClass selects reads by patterns and defines how stale their data may be.
type ReadClass struct {
	Name string
	// MaxAge bounds the age of the data returned. Zero means current data.
	MaxAge time.Duration
	// Patterns are regular expressions in Go syntax, which are matched against
	// the text of the statement.
	Patterns []string
	// RequireOwnWrites guarantees that the reads see the earlier writes of
	// their session.
	RequireOwnWrites bool
}

// Sharing defines an account's share of the connections that all accounts of a
// database group use in common, and the limits of its queue.
type Sharing struct {
	// Weight is the account's relative share when connections are scarce.
	Weight int
	// MaxConnections bounds the account's open connections to one server.
	MaxConnections int
	// QueueLimit bounds the account's requests that wait for a connection on
	// one host.
	QueueLimit int
	// QueueTimeout bounds the time that one request waits for a connection.
	QueueTimeout time.Duration
}

// Defaults and ranges of the parameters.
var (
	WeightRange              = validate.Range[int]{Default: 1, Min: 1, Max: 1000}
	MaxConnectionsRange      = validate.Range[int]{Default: 16, Min: 1, Max: 10_000}
	QueueLimitRange          = validate.Range[int]{Default: 1000, Min: 1, Max: 100_000}
	QueueTimeoutRange        = validate.Range[time.Duration]{Default: 5 * time.Second, Min: 10 * time.Millisecond, Max: 2 * time.Minute}
	SlotsRange               = validate.Range[int]{Default: 2, Min: 1, Max: 64}
	ConfirmationTimeoutRange = validate.Range[time.Duration]{Default: 5 * time.Second, Min: 100 * time.Millisecond, Max: time.Minute}
	KeyRetentionRange        = validate.Range[time.Duration]{Default: 24 * time.Hour, Min: time.Minute, Max: 30 * 24 * time.Hour}
	MaxAgeRange              = validate.Range[time.Duration]{Min: 0, Max: 24 * time.Hour}
)

// Ranges of the numbers of list elements. Together with maxTextBytes they keep an
// account object with its changes below the platform's limit of 1 MB.
var (
	groupsRange    = validate.Range[int]{Min: 1, Max: 64}
	databasesRange = validate.Range[int]{Min: 1, Max: 256}
	classesRange   = validate.Range[int]{Min: 0, Max: 64}
	patternsRange  = validate.Range[int]{Min: 1, Max: 64}
)

const (
	// maxTextBytes bounds the total size of the texts of a template. JSON
	// escaping at most doubles the size of printable text, and an account
	// object contains up to 2*MaxChanges+1 templates.
	maxTextBytes = 16 << 10
	// textOverheadBytes is the size added for each text: quotes, comma and
	// key.
	textOverheadBytes = 16
)

// WithDefaults returns the template with every parameter that is zero and has a
// default set to its default.
func (t Template) WithDefaults() Template {
	WeightRange.SetDefault(&t.Sharing.Weight)
	MaxConnectionsRange.SetDefault(&t.Sharing.MaxConnections)
	QueueLimitRange.SetDefault(&t.Sharing.QueueLimit)
	QueueTimeoutRange.SetDefault(&t.Sharing.QueueTimeout)
	SlotsRange.SetDefault(&t.Slots)
	ConfirmationTimeoutRange.SetDefault(&t.ConfirmationTimeout)
	KeyRetentionRange.SetDefault(&t.KeyRetention)
	return t
}

// Clone returns a copy that shares no memory with t.
func (t Template) Clone() Template {
	t.Groups = slices.Clone(t.Groups)
	for i := range t.Groups {
		t.Groups[i].Databases = slices.Clone(t.Groups[i].Databases)
	}
	t.ReadClasses = slices.Clone(t.ReadClasses)
	for i := range t.ReadClasses {
		t.ReadClasses[i].Patterns = slices.Clone(t.ReadClasses[i].Patterns)
	}
	return t
}

// ClaimFor returns the account's claim on the group that contains the database,
// if any.
func (t *Template) ClaimFor(database string) (claim Claim, ok bool) {
	i := slices.IndexFunc(t.Groups, func(c Claim) bool { return slices.Contains(c.Databases, database) })
	if i < 0 {
		return Claim{}, false
	}
	return t.Groups[i], true
}

// Patterns of valid names. An account ID is used as a PostgreSQL user name and as
// the name of platform objects. It contains no full stop, because that separates
// the parts of the names of audit objects.
var (
	idPattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
	groupPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)
	namePattern  = regexp.MustCompile(`^[^\x00-\x1f\x7f]{1,63}$`)
)

// Validate returns all faults of the template.
func (t Template) Validate() validate.Faults {
	faults := checkName("ID", string(t.ID), idPattern)
	if t.Revision < 0 {
		faults = append(faults, validate.Fault{Path: "Revision", Problem: validate.Malformed{
			Value: fmt.Sprint(t.Revision), Reason: "a revision is not negative",
		}})
	}
	faults = append(faults, t.validateGroups()...)
	faults = append(faults, t.validateVerifier()...)
	faults = append(faults, t.validateReadClasses()...)
	faults = append(faults, t.Sharing.validate("Sharing")...)
	faults = append(faults, SlotsRange.Check("Slots", t.Slots)...)
	faults = append(faults, ConfirmationTimeoutRange.Check("ConfirmationTimeout", t.ConfirmationTimeout)...)
	faults = append(faults, KeyRetentionRange.Check("KeyRetention", t.KeyRetention)...)
	return append(faults, t.validateSize()...)
}

func (t Template) validateVerifier() validate.Faults {
	if t.Verifier == "" {
		return validate.Faults{{Path: "Verifier", Problem: validate.Missing{}}}
	}
	if _, err := t.Verifier.Parse(); err != nil {
		return validate.Faults{{Path: "Verifier", Problem: validate.Malformed{Value: maskedVerifier, Reason: err.Error()}}}
	}
	return nil
}

func (t Template) validateGroups() validate.Faults {
	faults := checkCount("Groups", len(t.Groups), groupsRange)
	groups, databases := firstPaths{}, firstPaths{}
	for i, claim := range t.Groups {
		path := validate.Path("Groups").Index(i)
		faults = append(faults, checkName(path.Field("Group"), string(claim.Group), groupPattern)...)
		faults = append(faults, groups.check(path.Field("Group"), string(claim.Group))...)
		path = path.Field("Databases")
		faults = append(faults, checkCount(path, len(claim.Databases), databasesRange)...)
		for j, database := range claim.Databases {
			faults = append(faults, checkName(path.Index(j), database, namePattern)...)
			// Callers specify only the database, so each database must belong
			// to one group.
			faults = append(faults, databases.check(path.Index(j), database)...)
		}
	}
	return faults
}

func (t Template) validateReadClasses() validate.Faults {
	faults := checkCount("ReadClasses", len(t.ReadClasses), classesRange)
	names := firstPaths{}
	for i, class := range t.ReadClasses {
		path := validate.Path("ReadClasses").Index(i)
		faults = append(faults, checkName(path.Field("Name"), class.Name, namePattern)...)
		faults = append(faults, names.check(path.Field("Name"), class.Name)...)
		faults = append(faults, MaxAgeRange.Check(path.Field("MaxAge"), class.MaxAge)...)
		path = path.Field("Patterns")
		faults = append(faults, checkCount(path, len(class.Patterns), patternsRange)...)
		for j, pattern := range class.Patterns {
			faults = append(faults, checkPattern(path.Index(j), pattern)...)
		}
	}
	return faults
}

func (s Sharing) validate(path validate.Path) validate.Faults {
	return slices.Concat(
		WeightRange.Check(path.Field("Weight"), s.Weight),
		MaxConnectionsRange.Check(path.Field("MaxConnections"), s.MaxConnections),
		QueueLimitRange.Check(path.Field("QueueLimit"), s.QueueLimit),
		QueueTimeoutRange.Check(path.Field("QueueTimeout"), s.QueueTimeout),
	)
}

// validateSize checks the total size of the names and patterns, which keeps the
// object of the account below the platform's size limit.
func (t Template) validateSize() validate.Faults {
	size := 0
	add := func(texts ...string) {
		for _, text := range texts {
			size += len(text) + textOverheadBytes
		}
	}
	for _, claim := range t.Groups {
		add(string(claim.Group))
		add(claim.Databases...)
	}
	for _, class := range t.ReadClasses {
		add(class.Name)
		add(class.Patterns...)
	}
	if size <= maxTextBytes {
		return nil
	}
	return validate.Faults{{Problem: validate.OutOfRange{
		Value: fmt.Sprintf("the size of the names and patterns, %d bytes,", size), Min: "0", Max: fmt.Sprint(maxTextBytes),
	}}}
}

func checkName(path validate.Path, name string, pattern *regexp.Regexp) validate.Faults {
	if name == "" {
		return validate.Faults{{Path: path, Problem: validate.Missing{}}}
	}
	if !pattern.MatchString(name) {
		return validate.Faults{{Path: path, Problem: validate.Malformed{Value: name, Reason: "does not match " + pattern.String()}}}
	}
	return nil
}

func checkPattern(path validate.Path, pattern string) validate.Faults {
	if pattern == "" {
		return validate.Faults{{Path: path, Problem: validate.Missing{}}}
	}
	if strings.ContainsFunc(pattern, unicode.IsControl) || !utf8.ValidString(pattern) {
		return validate.Faults{{Path: path, Problem: validate.Malformed{Value: pattern, Reason: "contains control characters"}}}
	}
	if _, err := regexp.Compile(pattern); err != nil {
		return validate.Faults{{Path: path, Problem: validate.Malformed{Value: pattern, Reason: err.Error()}}}
	}
	return nil
}

func checkCount(path validate.Path, count int, bounds validate.Range[int]) validate.Faults {
	if count == 0 && bounds.Min > 0 {
		return validate.Faults{{Path: path, Problem: validate.Missing{}}}
	}
	if count >= bounds.Min && count <= bounds.Max {
		return nil
	}
	return validate.Faults{{Path: path, Problem: validate.OutOfRange{
		Value: fmt.Sprintf("the number of elements, %d,", count), Min: fmt.Sprint(bounds.Min), Max: fmt.Sprint(bounds.Max),
	}}}
}

// firstPaths maps each value to the path at which it first occurs.
type firstPaths map[string]validate.Path

// check returns a fault if the value occurred before; else it records the path.
// Empty values are reported elsewhere and ignored here.
func (f firstPaths) check(path validate.Path, value string) validate.Faults {
	if value == "" {
		return nil
	}
	if first, ok := f[value]; ok {
		return validate.Faults{{Path: path, Problem: validate.Duplicate{Of: first}}}
	}
	f[value] = path
	return nil
}

// CheckClaims returns a fault for each group on which the claims of the template
// and of another account conflict: at least one of the two accounts writes to the
// group, and not both claims are shared.
func CheckClaims(t Template, others []Template) validate.Faults {
	var faults validate.Faults
	for i, claim := range t.Groups {
		for _, other := range others {
			if other.ID != t.ID && slices.ContainsFunc(other.Groups, claim.conflictsWith) {
				path := validate.Path("Groups").Index(i).Field("Group")
				faults = append(faults, validate.Fault{Path: path, Problem: validate.Claimed{By: string(other.ID)}})
			}
		}
	}
	return faults
}

// conflictsWith reports whether two accounts must not hold both claims.
func (c Claim) conflictsWith(other Claim) bool {
	writes := !c.ReadOnly || !other.ReadOnly
	shared := c.Shared && other.Shared
	return c.Group == other.Group && writes && !shared
}
