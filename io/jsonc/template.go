package jsonc

import (
	"github.com/tailscale/hujson"

	"basilmill/core/account"
	"basilmill/core/settings"
	"basilmill/core/validate"
)

// Template decodes the template of a client account. Absent keys have their
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
		"Revision":    integer(&t.Revision),
		"Groups":      list(&t.Groups, claimField),
		"Verifier":    text(&t.Verifier),
		"ReadClasses": list(&t.ReadClasses, readClassField),
		"Sharing": object(fields{
			"Weight":         integer(&t.Sharing.Weight),
			"MaxConnections": integer(&t.Sharing.MaxConnections),
			"QueueLimit":     integer(&t.Sharing.QueueLimit),
			"QueueTimeout":   duration(&t.Sharing.QueueTimeout),
		}),
		"Slots":               integer(&t.Slots),
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

// DocumentKind is the kind of a file, as Detect determines it.
type DocumentKind int

// Kinds of files.
const (
	// TemplateDocument is the template of a client account.
	TemplateDocument DocumentKind = iota
	// SettingsDocument is the settings of a host.
	SettingsDocument
)

// Detect determines the kind of a file: settings if more keys of its root object
// are keys of settings than of templates, otherwise a template. A file without a
// valid root object counts as a template.
func Detect(data []byte) DocumentKind {
	value, err := hujson.Parse(data[:min(len(data), MaxBytes)])
	root, ok := value.Value.(*hujson.Object)
	if err != nil || !ok {
		return TemplateDocument
	}
	settingsKeys, templateKeys := settingsFields(&settings.Settings{}), templateFields(&account.Template{})
	surplus := 0
	for _, member := range root.Members {
		key := member.Name.Value.(hujson.Literal).String()
		if _, ok := settingsKeys[key]; ok {
			surplus++
		}
		if _, ok := templateKeys[key]; ok {
			surplus--
		}
	}
	if surplus > 0 {
		return SettingsDocument
	}
	return TemplateDocument
}
