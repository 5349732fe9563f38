package account_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/validate"
)

const verifier = account.Verifier("SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=")

func validTemplate() account.Template {
	return account.Template{
		ID:       "naamboek",
		Groups:   []account.Claim{{Group: "naamboek-1", Databases: []string{"lineage"}}},
		Verifier: verifier,
		ReadClasses: []account.ReadClass{
			{Name: "schedule", MaxAge: time.Second, Patterns: []string{`(?i)^SELECT .* FROM schedule\b`}, RequireOwnWrites: true},
			{Name: "any", Patterns: []string{`.`}},
		},
	}.WithDefaults()
}

// Guards against a validation that stops at the first fault, misses one or
// includes a verifier in a message.
func TestValidateListsAllFaults(t *testing.T) {
	template := validTemplate()
	assert.Equal(t, len(template.Validate()), 0)

	template.ID = "Naam.boek"
	template.Groups = append(template.Groups, account.Claim{Group: "naamboek-1", Databases: []string{"lineage", ""}})
	template.Verifier = "SCRAM-SHA-256$4095:c2FsdA==$secret:secret"
	template.ReadClasses[0].MaxAge = -time.Second
	template.ReadClasses[1].Name = "schedule"
	template.ReadClasses[1].Patterns = []string{"(", "a\x01"}
	template.Sharing = account.Sharing{Weight: 1001, MaxConnections: 1, QueueLimit: 1, QueueTimeout: time.Hour}
	template.Slots = 0
	template.KeyRetention = time.Second
	faults := template.Validate()
	paths := make([]string, len(faults))
	for i, fault := range faults {
		paths[i] = string(fault.Path)
	}
	assert.DeepEqual(t, paths, []string{
		"ID", "Groups[1].Group", "Groups[1].Databases[0]", "Groups[1].Databases[1]", "Verifier",
		"ReadClasses[0].MaxAge", "ReadClasses[1].Name", "ReadClasses[1].Patterns[0]", "ReadClasses[1].Patterns[1]",
		"Sharing.Weight", "Sharing.QueueTimeout", "Slots", "KeyRetention",
	})
	assert.Equal(t, faults[2].Problem, validate.Problem(validate.Duplicate{Of: "Groups[0].Databases[0]"}))
	assert.Equal(t, faults[9].String(), "Sharing.Weight: 1001 is not between 1 and 1000")
	assert.Assert(t, !strings.Contains(faults.Err().Error(), "secret"))
}

// Guards against verifiers that cannot be used for authentication, and against
// iteration counts that are too weak or too expensive for callers.
func TestVerifier(t *testing.T) {
	credentials, err := verifier.Parse()
	assert.NilError(t, err)
	assert.Equal(t, credentials.Iterations, 4096)
	assert.Equal(t, string(credentials.Salt), "saltsaltsaltsalt")
	for _, change := range [][2]string{{"4096", "4095"}, {"4096", "10000001"}, {"AAAA=:", "AAA:"}, {"256", "1"}, {"c2Fs", "c2F_"}, {"$AAAA", "$"}} {
		_, err := account.Verifier(strings.Replace(string(verifier), change[0], change[1], 1)).Parse()
		assert.Assert(t, err != nil, "%v", change)
	}
}

// Guards against two accounts that use one group, of which at least one writes,
// although not both claims are shared.
func TestCheckClaims(t *testing.T) {
	for name, tc := range map[string]struct {
		claim, other account.Claim
		refused      bool
	}{
		"both write":                {account.Claim{}, account.Claim{}, true},
		"only one shares":           {account.Claim{Shared: true}, account.Claim{}, true},
		"both share":                {account.Claim{Shared: true}, account.Claim{Shared: true}, false},
		"reads what another owns":   {account.Claim{ReadOnly: true}, account.Claim{}, true},
		"writes what another reads": {account.Claim{}, account.Claim{ReadOnly: true}, true},
		"both read":                 {account.Claim{ReadOnly: true}, account.Claim{ReadOnly: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			own := account.Template{ID: "a", Groups: []account.Claim{{Group: "unused"}, tc.claim}}
			other := account.Template{ID: "b", Groups: []account.Claim{tc.other}}
			faults := account.CheckClaims(own, []account.Template{own, other})
			assert.Equal(t, len(faults) > 0, tc.refused)
			if tc.refused {
				assert.DeepEqual(t, faults, validate.Faults{{Path: "Groups[1].Group", Problem: validate.Claimed{By: "b"}}})
			}
		})
	}
}

// Guards against a read that is served with the maximum age of a later class.
func TestMatcherTakesFirstClass(t *testing.T) {
	matcher, err := validTemplate().Matcher()
	assert.NilError(t, err)
	class, _ := matcher.Match("select * from schedule where day = 1")
	assert.Equal(t, class.Name, "schedule")
	class, _ = matcher.Match("SELECT 1")
	assert.Equal(t, class.Name, "any")
}

func request(id account.ChangeID, template account.Template) account.Request {
	return account.Request{ChangeID: id, Operator: "els", Time: time.Unix(1, 0), Template: template}
}

// Guards against an operator overwriting a change that was accepted in the
// meantime, and against a refusal that does not report the accepted change and
// its differences.
func TestReviseRace(t *testing.T) {
	created, err := account.Submit(nil, request("c1", validTemplate()))
	assert.NilError(t, err)
	stale, concurrent := created.Object.Template.Clone(), created.Object.Template.Clone()
	concurrent.ReadClasses[0].MaxAge = time.Minute
	slices.Reverse(concurrent.ReadClasses)
	accepted, err := account.Revise(&created.Object, request("c2", concurrent))
	assert.NilError(t, err)
	assert.Equal(t, created.Object.Template.ReadClasses[0].MaxAge, time.Second)
	assert.Equal(t, accepted.Object.Changes[1].Before.Revision, account.Revision(1))
	assert.Equal(t, accepted.Object.Changes[1].After.Revision, account.Revision(2))

	stale.Slots = 5
	_, err = account.Revise(&accepted.Object, request("c3", stale))
	var race *account.RaceError
	assert.Assert(t, errors.As(err, &race), "%v", err)
	assert.Equal(t, race.Winner.ID, account.ChangeID("c2"))
	assert.DeepEqual(t, race.Diff, []account.Difference{
		{Path: "ReadClasses", Before: `["schedule", "any"]`, After: `["any", "schedule"]`},
		{Path: "ReadClasses[schedule].MaxAge", Before: "1s", After: "1m0s"},
	})
	_, ok := accepted.Object.FindChange("c2")
	assert.Assert(t, ok)
	_, ok = accepted.Object.FindChange("c3")
	assert.Assert(t, !ok)

	_, err = account.Submit(&accepted.Object, request("c4", stale))
	assert.ErrorType(t, err, &account.RaceError{})
	_, err = account.Revise(&accepted.Object, request("c5", accepted.Object.Template))
	assert.ErrorType(t, err, &account.UnchangedError{})
}

// Guards against changes that are lost when they move from the object's list to
// an audit object.
func TestAuditKeepsEveryChange(t *testing.T) {
	update, err := account.Submit(nil, request("first", validTemplate()))
	assert.NilError(t, err)
	audits := map[account.Revision]*account.Audit{}
	for i := range 3 * account.MaxChanges {
		next := update.Object.Template.Clone()
		next.Slots = 1 + i%2
		update, err = account.Revise(&update.Object, request("next", next))
		assert.NilError(t, err)
		assert.Assert(t, len(update.Object.Changes) <= account.MaxChanges)
		if update.Audit != nil {
			audits[update.Audit.First()] = update.Audit
		}
		var history []account.Change
		for _, first := range update.Object.AuditRevisions() {
			history = append(history, audits[first].Changes...)
		}
		history = append(history, update.Object.Changes...)
		assert.Equal(t, len(history), int(update.Object.Template.Revision))
		for j, change := range history {
			assert.Equal(t, change.Revision, account.Revision(j+1))
		}
	}
}
