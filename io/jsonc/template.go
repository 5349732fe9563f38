package jsonc

import (
	"github.com/tailscale/hujson"

	"basilmill/core/account"
	"basilmill/core/settings"
	"basilmill/core/validate"
)

// Template reads the template of a client account. Absent keys have their
// defaults, and RequireOwnWrites is true when absent. The error is an *Error.
func Template(data []byte) (account.Template, error) {
	t := account.Template{}.WithDefaults()
	if err := decode(data, templateFields(&t), func() validate.Faults { return t.Validate() }); err != nil {
		return account.Template{}, err
	}
	return t, nil
}

func templateFields(t *account.Template) fields {
	return fields{
		"ID":          text(&t.ID),
		"Revision":    whole(&t.Revision),
		"Groups":      list(&t.Groups, claimField),
		"Verifier":    text(&t.Verifier),
		"ReadClasses": list(&t.ReadClasses, readClassField),
		"Sharing": object(fields{
			"Weight":         whole(&t.Sharing.Weight),
			"MaxConnections": whole(&t.Sharing.MaxConnections),
			"QueueLimit":     whole(&t.Sharing.QueueLimit),
			"QueueTimeout":   duration(&t.Sharing.QueueTimeout),
		}),
		"Slots":               whole(&t.Slots),
		"ConfirmationTimeout": duration(&t.ConfirmationTimeout),
		"KeyRetention":        duration(&t.KeyRetention),
	}
}

func claimField(c *account.Claim) field {
	return object(fields{
		"Group":     text(&c.Group),
		"Databases": list(&c.Databases, text[string]),
		"ReadOnly":  boolean(&c.ReadOnly),
		"Shared":    boolean(&c.Shared),
	})
}

func readClassField(c *account.ReadClass) field {
	c.RequireOwnWrites = true
	return object(fields{
		"Name":             text(&c.Name),
		"MaxAge":           duration(&c.MaxAge),
		"Patterns":         list(&c.Patterns, text[string]),
		"RequireOwnWrites": boolean(&c.RequireOwnWrites),
	})
}

// DocumentKind is a kind of operators' file.
type DocumentKind int

// Kinds of files.
const (
	TemplateDocument DocumentKind = iota
	SettingsDocument
)

// Detect tells settings from a template by the keys at the top. A file with no
// known key counts as a template.
func Detect(data []byte) DocumentKind {
	value, err := hujson.Parse(data[:min(len(data), MaxBytes)])
	root, ok := value.Value.(*hujson.Object)
	if err != nil || !ok {
		return TemplateDocument
	}
	asSettings, asTemplate := settingsFields(&settings.Settings{}), templateFields(&account.Template{})
	score := 0
	for _, member := range root.Members {
		key := member.Name.Value.(hujson.Literal).String()
		if _, ok := asSettings[key]; ok {
			score++
		}
		if _, ok := asTemplate[key]; ok {
			score--
		}
	}
	if score > 0 {
		return SettingsDocument
	}
	return TemplateDocument
}
