package backendserver

import (
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/group"
	"basilmill/standin/internal/sql"
)

const (
	applicationName = "application_name"
	defaultReadOnly = "default_transaction_read_only"
)

// reportedSettings are the settings whose values are sent to the client at
// start-up and on each change.
var reportedSettings = []string{
	"server_version", "server_encoding", "client_encoding", applicationName, defaultReadOnly, "in_hot_standby",
	"datestyle", "timezone", "intervalstyle", "integer_datetimes", "standard_conforming_strings",
}

// reportedName returns the spelling of a setting's name in ParameterStatus
// messages.
func reportedName(name string) string {
	switch name {
	case "datestyle":
		return "DateStyle"
	case "timezone":
		return "TimeZone"
	case "intervalstyle":
		return "IntervalStyle"
	}
	return name
}

// defaultSettings returns the settings of a new session. Start-up parameters
// override the defaults of the server.
func defaultSettings(parameters map[string]string, role group.Role) map[string]string {
	settings := map[string]string{
		"server_version":                      "17.0",
		"server_encoding":                     "UTF8",
		"client_encoding":                     "UTF8",
		applicationName:                       "",
		defaultReadOnly:                       "off",
		"in_hot_standby":                      onOff(role == group.Replica),
		"datestyle":                           "ISO, MDY",
		"timezone":                            "UTC",
		"intervalstyle":                       "postgres",
		"integer_datetimes":                   "on",
		"standard_conforming_strings":         "on",
		"extra_float_digits":                  "1",
		"search_path":                         "public",
		"statement_timeout":                   "0",
		"lock_timeout":                        "0",
		"synchronous_commit":                  "on",
		"transaction_isolation":               "read committed",
		"client_min_messages":                 "notice",
		"idle_in_transaction_session_timeout": "0",
	}
	for name, value := range parameters {
		switch name {
		case "user", "database", "options", replicationParameter:
		default:
			settings[strings.ToLower(name)] = value
		}
	}
	return settings
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// runSettingStatement executes SET, RESET, SHOW, DISCARD ALL and DEALLOCATE.
func (x *session) runSettingStatement(statement sql.Statement) (result, error) {
	switch s := statement.(type) {
	case *sql.Set:
		return x.set(s)
	case *sql.Show:
		return x.show(s.Name)
	case *sql.Discard:
		if x.transaction.explicit {
			return result{}, sql.Errorf(sql.ActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		clear(x.statements)
		x.replaceSettings(x.defaults)
		return result{tag: "DISCARD ALL"}, nil
	case *sql.Deallocate:
		return x.deallocate(s.Name)
	}
	return result{}, nil
}

func (x *session) set(s *sql.Set) (result, error) {
	tag := "SET"
	if s.Reset {
		tag = "RESET"
	}
	if s.Name == "" {
		x.replaceSettings(x.defaults)
		return result{tag: tag}, nil
	}
	settings := maps.Clone(x.settings)
	if err := x.applySetting(settings, s); err != nil {
		return result{}, err
	}
	x.replaceSettings(settings)
	return result{tag: tag}, nil
}

// applySetting sets or resets one setting. A name with a prefix before a dot need
// not be defined, as in PostgreSQL.
func (x *session) applySetting(settings map[string]string, s *sql.Set) error {
	if _, known := settings[s.Name]; !known && !strings.Contains(s.Name, ".") {
		return sql.Errorf(sql.UndefinedObject, "unknown setting %q", s.Name)
	}
	if s.Value != nil {
		settings[s.Name] = *s.Value
		return nil
	}
	if value, ok := x.defaults[s.Name]; ok {
		settings[s.Name] = value
		return nil
	}
	delete(settings, s.Name)
	return nil
}

// replaceSettings replaces the session's settings and sends the changed ones to
// the client.
func (x *session) replaceSettings(settings map[string]string) {
	for _, name := range reportedSettings {
		if settings[name] != x.settings[name] {
			x.backend.Send(&pgproto3.ParameterStatus{Name: reportedName(name), Value: settings[name]})
		}
	}
	x.settings = settings
}

func (x *session) show(name string) (result, error) {
	value, ok := x.settings[name]
	switch {
	case name == "transaction_read_only":
		value = onOff(x.transaction.readOnly || x.server.Status().Role == group.Replica)
	case !ok:
		return result{}, sql.Errorf(sql.UndefinedObject, "unknown setting %q", name)
	}
	return result{rows: []row{{sql.TextValue(value)}}, tag: "SHOW"}, nil
}

func (x *session) deallocate(name string) (result, error) {
	if name == "" {
		clear(x.statements)
		return result{tag: "DEALLOCATE ALL"}, nil
	}
	if _, err := x.lookupStatement(name); err != nil {
		return result{}, err
	}
	delete(x.statements, name)
	return result{tag: "DEALLOCATE"}, nil
}
