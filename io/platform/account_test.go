package platform_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/io/platform"
)

// Guards against fields that are encoded but not decoded, or the reverse.
func TestAccountCodec(t *testing.T) {
	before := account.Template{
		ID: "naamboek", Revision: 1,
		Groups:      []account.Claim{{Group: "g", Databases: []string{"d"}, ReadOnly: true, Shared: true}},
		Verifier:    "v",
		ReadClasses: []account.ReadClass{{Name: "c", MaxAge: 1500 * time.Millisecond, Patterns: []string{"<a>"}, RequireOwnWrites: true}},
		Sharing:     account.Sharing{Weight: 1, MaxConnections: 2, QueueLimit: 3, QueueTimeout: 4},
		Slots:       5, ConfirmationTimeout: 6, KeyRetention: 7,
	}
	after := before.Clone()
	after.Revision = 2
	changes := []account.Change{
		{ID: "x1", Operator: "els", Time: time.Unix(1, 2).UTC(), Revision: 1, After: before},
		{ID: "x2", Operator: "jan", Time: time.Unix(3, 4).UTC(), Revision: 2, Before: before, After: after},
	}
	object := &account.Object{Template: after, Changes: changes}
	value, err := platform.EncodeAccount(object)
	assert.NilError(t, err)
	// HTML escapes would lengthen patterns beyond what the size limit allows.
	assert.Assert(t, strings.Contains(string(value), `"<a>"`))
	decoded, err := platform.DecodeAccount(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, object)

	audit := &account.Audit{Account: "naamboek", Changes: changes}
	value, err = platform.EncodeAudit(audit)
	assert.NilError(t, err)
	decodedAudit, err := platform.DecodeAudit(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, decodedAudit, audit)
}

// Guards against an account whose valid templates exceed the platform's limit of
// 1 MB for an object, so that the account can no longer be revised.
func TestLargestAccountFits(t *testing.T) {
	template := account.Template{ID: "a", Verifier: account.Verifier("SCRAM-SHA-256$4096:c2FsdA==$" +
		strings.Repeat("A", 43) + "=:" + strings.Repeat("A", 43) + "=")}.WithDefaults()
	for i := range 64 {
		name := fmt.Sprint(i)
		template.Groups = append(template.Groups, account.Claim{Group: group.ID("g" + name), Databases: []string{name}})
		template.ReadClasses = append(template.ReadClasses, account.ReadClass{Name: name, Patterns: []string{`\\`}})
	}
	// JSON doubles the length of backslashes, the longest escape of printable
	// text without HTML escapes. Fill the last pattern with them up to the limit
	// of a valid template.
	last := &template.ReadClasses[63].Patterns[0]
	step := strings.Repeat(`\\`, 64)
	for len(template.Validate()) == 0 {
		*last += step
	}
	*last = strings.TrimSuffix(*last, step)
	assert.Equal(t, len(template.Validate()), 0)

	update, err := account.Submit(nil, account.Request{Template: template})
	assert.NilError(t, err)
	for i := range account.MaxChanges - 1 {
		next := update.Object.Template.Clone()
		next.Slots = 1 + i%2
		update, err = account.Revise(&update.Object, account.Request{Template: next})
		assert.NilError(t, err)
	}
	assert.Equal(t, len(update.Object.Changes), account.MaxChanges)
	value, err := platform.EncodeAccount(&update.Object)
	assert.NilError(t, err)
	t.Logf("%d bytes", len(value))
	assert.Assert(t, len(value) < 1<<20, "%d bytes", len(value))
}
