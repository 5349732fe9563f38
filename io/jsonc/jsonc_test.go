package jsonc_test

import (
	"errors"
	"log/slog"
	"net/netip"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/settings"
	"basilmill/io/jsonc"
)

// decode decodes settings or a template, whichever Detect finds.
func decode(data []byte) error {
	var err error
	if jsonc.Detect(data) == jsonc.SettingsDocument {
		_, err = jsonc.Settings(data)
	} else {
		_, err = jsonc.Template(data)
	}
	return err
}

// Each file of testdata holds an input and the faults that it must yield.
func TestFaults(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 3)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			err = decode(archive.Files[0].Data)
			assert.Equal(t, err.Error()+"\n", string(archive.Files[1].Data))
		})
	}
}

// Guards against keys that are accepted but not stored, and against changed
// defaults.
func TestSettings(t *testing.T) {
	got, err := jsonc.Settings([]byte(`{
		"HostID": "h1", "DataCentre": "gent-a", "Region": "flanders",
		"Listen": "127.0.0.1:0", "PeerListen": "127.0.0.1:0", "OperatorListen": "[::1]:80", "Platform": "127.0.0.1:90",
		"Peers": ["127.0.0.2:70"], "Backend": {"User": "u", "Password": "p"},
		"TLS": {"Certificate": "c", "Key": "k"}, "DrainTime": "1m", "ConnectionLimit": 40,
		"Log": {"Level": "Warn", "Format": "JSON"} }`))
	assert.NilError(t, err)
	want := settings.Settings{
		HostID: "h1", DataCentre: "gent-a", Region: "flanders",
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), PeerListen: netip.MustParseAddrPort("127.0.0.1:0"),
		OperatorListen: netip.MustParseAddrPort("[::1]:80"), Platform: netip.MustParseAddrPort("127.0.0.1:90"),
		Peers:         []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:70")},
		Backend:       settings.Backend{User: "u", Password: "p"},
		TLS:           settings.TLS{Certificate: "c", Key: "k"},
		ProbeInterval: 150 * time.Millisecond, ConfirmationTimeout: 5 * time.Second, DrainTime: time.Minute,
		ConnectionLimit: 40, Log: settings.Log{Level: slog.LevelWarn, Format: settings.JSON},
	}
	assert.Assert(t, reflect.DeepEqual(got, want), "got %+v", got)
}

// Guards against keys that are accepted but not stored, and against a read
// class that does not require own writes unless the file says so.
func TestTemplate(t *testing.T) {
	verifier := "SCRAM-SHA-256$4096:c2FsdA==$" + strings.Repeat("A", 43) + "=:" + strings.Repeat("A", 43) + "="
	got, err := jsonc.Template([]byte(`{"ID": "a", "Revision": 3, "Verifier": "` + verifier + `",
		"Groups": [{"Group": "g", "Databases": ["d"], "ReadOnly": true, "Shared": true}],
		"ReadClasses": [{"Name": "x", "Patterns": ["x"], "MaxAge": "1s"}, {"Name": "y", "Patterns": ["y"], "RequireOwnWrites": false}],
		"Sharing": {"Weight": 2, "MaxConnections": 3, "QueueLimit": 4, "QueueTimeout": "1s"},
		"KeyRetention": "48h", }`))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, account.Template{
		ID: "a", Revision: 3, Verifier: account.Verifier(verifier),
		Groups: []account.Claim{{Group: "g", Databases: []string{"d"}, ReadOnly: true, Shared: true}},
		ReadClasses: []account.ReadClass{
			{Name: "x", Patterns: []string{"x"}, MaxAge: time.Second, RequireOwnWrites: true},
			{Name: "y", Patterns: []string{"y"}},
		},
		Sharing: account.Sharing{Weight: 2, MaxConnections: 3, QueueLimit: 4, QueueTimeout: time.Second},
		Slots:   2, ConfirmationTimeout: 5 * time.Second, KeyRetention: 48 * time.Hour,
	})
}

// Guards against input that makes the decoder panic, that yields a fault outside
// the file, or that fails without a position.
func FuzzRead(f *testing.F) {
	paths, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(f, err)
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		assert.NilError(f, err)
		f.Add(archive.Files[0].Data)
	}
	f.Add([]byte(strings.Repeat("[", jsonc.MaxBytes)))
	f.Add([]byte(`{"Groups":[{}],"ReadClasses":[[],{"Patterns":[null]}],"Slots":-0}`))
	f.Add([]byte("\n\n{\"ID\":\"\xff\",\"\\u0049D\":1 //"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := strings.Count(string(data), "\n") + 1
		err := decode(data)
		var faults *jsonc.Error
		if err == nil {
			return
		}
		assert.Assert(t, errors.As(err, &faults))
		assert.Assert(t, len(faults.Faults) > 0)
		for _, fault := range faults.Faults {
			assert.Assert(t, fault.Line >= 1 && fault.Line <= lines, "%v", fault)
			assert.Assert(t, fault.Column >= 1 && fault.Column <= len(data)+1, "%v", fault)
			assert.Assert(t, fault.Problem != nil)
		}
	})
}
