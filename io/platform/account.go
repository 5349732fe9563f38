package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"basilmill/core/account"
	"basilmill/core/group"
)

// AccountKey returns the key of a client account.
func AccountKey(id account.ID) Key { return Key{Kind: KindAccount, Name: string(id)} }

// AuditKey returns the key of the audit object whose first change has the given
// revision of an account. Account ids contain no full stop, so the keys of two
// accounts cannot collide.
func AuditKey(id account.ID, first account.Revision) Key {
	return Key{Kind: KindAudit, Name: fmt.Sprintf("account.%s.%010d", id, first)}
}

// The field names of the wire types are the JSON keys of the stored objects.
// Durations are stored as strings such as "150ms", as in template files.

type wireTemplate struct {
	ID                  account.ID
	Revision            account.Revision
	Groups              []wireClaim
	Verifier            account.Verifier
	ReadClasses         []wireReadClass
	Sharing             wireSharing
	Slots               int
	ConfirmationTimeout wireDuration
	KeyRetention        wireDuration
}

type wireClaim struct {
	Group     group.ID
	Databases []string
	ReadOnly  bool
	Shared    bool
}

type wireReadClass struct {
	Name             string
	MaxAge           wireDuration
	Patterns         []string
	RequireOwnWrites bool
}

type wireSharing struct {
	Weight         int
	MaxConnections int
	QueueLimit     int
	QueueTimeout   wireDuration
}

// wireAccountChange is a change of an account. Before is absent for the creation
// of the account.
type wireAccountChange struct {
	ID       account.ChangeID
	Operator account.Operator
	Time     time.Time
	Revision account.Revision
	Before   *wireTemplate `json:",omitempty"`
	After    wireTemplate
}

type wireAccount struct {
	Template wireTemplate
	Changes  []wireAccountChange
}

type wireAudit struct {
	Account account.ID
	Changes []wireAccountChange
}

type wireDuration time.Duration

// MarshalText formats the duration.
func (d wireDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the duration.
func (d *wireDuration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = wireDuration(parsed)
	return err
}

// EncodeAccount encodes an account as the value of its object.
func EncodeAccount(object *account.Object) (value json.RawMessage, err error) {
	defer wrapf(&err, "encode account %s", object.Template.ID)
	return marshal(wireAccount{Template: toWireTemplate(object.Template), Changes: toWireChanges(object.Changes)})
}

// DecodeAccount decodes the value of an account's object.
func DecodeAccount(value json.RawMessage) (object *account.Object, err error) {
	defer wrapf(&err, "decode account")
	var wire wireAccount
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, err
	}
	if wire.Template.ID == "" || wire.Template.Revision < 1 {
		return nil, errIncomplete
	}
	return &account.Object{Template: wire.Template.template(), Changes: fromWireChanges(wire.Changes)}, nil
}

// EncodeAudit encodes a part of an account's history as the value of an audit
// object.
func EncodeAudit(audit *account.Audit) (value json.RawMessage, err error) {
	defer wrapf(&err, "encode audit of account %s", audit.Account)
	return marshal(wireAudit{Account: audit.Account, Changes: toWireChanges(audit.Changes)})
}

// DecodeAudit decodes the value of an audit object of an account.
func DecodeAudit(value json.RawMessage) (audit *account.Audit, err error) {
	defer wrapf(&err, "decode audit")
	var wire wireAudit
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, err
	}
	if wire.Account == "" {
		return nil, errIncomplete
	}
	return &account.Audit{Account: wire.Account, Changes: fromWireChanges(wire.Changes)}, nil
}

// EncodeTemplate encodes a template with the keys of template files.
func EncodeTemplate(template account.Template) (value json.RawMessage, err error) {
	defer wrapf(&err, "encode template %s", template.ID)
	return marshal(toWireTemplate(template))
}

// EncodeChanges encodes changes of an account as a list.
func EncodeChanges(changes []account.Change) (value json.RawMessage, err error) {
	defer wrapf(&err, "encode changes")
	return marshal(toWireChanges(changes))
}

// marshal encodes without HTML escapes, which would make patterns up to six times
// as long.
func marshal(value any) (json.RawMessage, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(value)
	return bytes.TrimSpace(buffer.Bytes()), err
}

func toWireTemplate(t account.Template) wireTemplate {
	wire := wireTemplate{
		ID:          t.ID,
		Revision:    t.Revision,
		Groups:      make([]wireClaim, len(t.Groups)),
		Verifier:    t.Verifier,
		ReadClasses: make([]wireReadClass, len(t.ReadClasses)),
		Sharing: wireSharing{
			Weight:         t.Sharing.Weight,
			MaxConnections: t.Sharing.MaxConnections,
			QueueLimit:     t.Sharing.QueueLimit,
			QueueTimeout:   wireDuration(t.Sharing.QueueTimeout),
		},
		Slots:               t.Slots,
		ConfirmationTimeout: wireDuration(t.ConfirmationTimeout),
		KeyRetention:        wireDuration(t.KeyRetention),
	}
	for i, claim := range t.Groups {
		wire.Groups[i] = wireClaim(claim)
	}
	for i, class := range t.ReadClasses {
		wire.ReadClasses[i] = wireReadClass{
			Name:             class.Name,
			MaxAge:           wireDuration(class.MaxAge),
			Patterns:         class.Patterns,
			RequireOwnWrites: class.RequireOwnWrites,
		}
	}
	return wire
}

func (w wireTemplate) template() account.Template {
	t := account.Template{
		ID:       w.ID,
		Revision: w.Revision,
		Verifier: w.Verifier,
		Sharing: account.Sharing{
			Weight:         w.Sharing.Weight,
			MaxConnections: w.Sharing.MaxConnections,
			QueueLimit:     w.Sharing.QueueLimit,
			QueueTimeout:   time.Duration(w.Sharing.QueueTimeout),
		},
		Slots:               w.Slots,
		ConfirmationTimeout: time.Duration(w.ConfirmationTimeout),
		KeyRetention:        time.Duration(w.KeyRetention),
	}
	for _, claim := range w.Groups {
		t.Groups = append(t.Groups, account.Claim(claim))
	}
	for _, class := range w.ReadClasses {
		t.ReadClasses = append(t.ReadClasses, account.ReadClass{
			Name:             class.Name,
			MaxAge:           time.Duration(class.MaxAge),
			Patterns:         class.Patterns,
			RequireOwnWrites: class.RequireOwnWrites,
		})
	}
	return t
}

func toWireChanges(changes []account.Change) []wireAccountChange {
	wire := make([]wireAccountChange, len(changes))
	for i, change := range changes {
		wire[i] = wireAccountChange{
			ID:       change.ID,
			Operator: change.Operator,
			Time:     change.Time,
			Revision: change.Revision,
			After:    toWireTemplate(change.After),
		}
		if change.Before.Revision != 0 {
			before := toWireTemplate(change.Before)
			wire[i].Before = &before
		}
	}
	return wire
}

func fromWireChanges(wire []wireAccountChange) []account.Change {
	changes := make([]account.Change, len(wire))
	for i, change := range wire {
		changes[i] = account.Change{
			ID:       change.ID,
			Operator: change.Operator,
			Time:     change.Time,
			Revision: change.Revision,
			After:    change.After.template(),
		}
		if change.Before != nil {
			changes[i].Before = change.Before.template()
		}
	}
	return changes
}
