package jsonc

import (
	"log/slog"

	"basilmill/core/settings"
	"basilmill/core/validate"
)

// Settings decodes the settings of a host. Absent keys have their defaults. The
// error is an *Error.
func Settings(data []byte) (settings.Settings, error) {
	s := settings.Settings{}.WithDefaults()
	if err := decode(data, settingsFields(&s), func() validate.Faults { return s.Validate() }); err != nil {
		return settings.Settings{}, err
	}
	return s, nil
}

func settingsFields(s *settings.Settings) fields {
	return fields{
		"HostID":         text(&s.HostID),
		"DataCentre":     text(&s.DataCentre),
		"Region":         text(&s.Region),
		"Listen":         address(&s.Listen),
		"PeerListen":     address(&s.PeerListen),
		"OperatorListen": address(&s.OperatorListen),
		"Platform":       address(&s.Platform),
		"Peers":          list(&s.Peers, address),
		"Backend": object(fields{
			"User":     text(&s.Backend.User),
			"Password": text(&s.Backend.Password),
		}),
		"TLS": object(fields{
			"Certificate": text(&s.TLS.Certificate),
			"Key":         text(&s.TLS.Key),
		}),
		"ProbeInterval":       duration(&s.ProbeInterval),
		"ConfirmationTimeout": duration(&s.ConfirmationTimeout),
		"DrainTime":           duration(&s.DrainTime),
		"ConnectionLimit":     integer(&s.ConnectionLimit),
		"Log": object(fields{
			"Level": oneOf(&s.Log.Level,
				choice[slog.Level]{"Debug", slog.LevelDebug},
				choice[slog.Level]{"Info", slog.LevelInfo},
				choice[slog.Level]{"Warn", slog.LevelWarn},
				choice[slog.Level]{"Error", slog.LevelError}),
			"Format": oneOf(&s.Log.Format,
				choice[settings.LogFormat]{settings.Text.String(), settings.Text},
				choice[settings.LogFormat]{settings.JSON.String(), settings.JSON}),
		}),
	}
}
