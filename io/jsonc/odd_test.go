package jsonc_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/io/jsonc"
)

// Guards against files that end the process or are taken for others: deeply nested, with
// numbers too large, or with ports out of range.
func TestOddDocumentsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"deeply nested":     strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"deeply nested key": `{"HostID": ` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000) + "}",
		"number too large":  `{"HostID": "h1", "ConnectionLimit": 1e400}`,
		"integer too large": `{"HostID": "h1", "ConnectionLimit": 99999999999999999999999}`,
		"port out of range": `{"HostID": "h1", "Listen": "127.0.0.1:99999"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := jsonc.Settings([]byte(text))
			assert.Assert(t, err != nil)
			_, err = jsonc.Template([]byte(text))
			assert.Assert(t, err != nil)
		})
	}
}
