package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/io/platform"
)

// Guards against objects and lists that end the process: deeply nested, with numbers too
// large, or with ports out of range.
func TestOddObjectsAreRefused(t *testing.T) {
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, value := range map[string]string{
		"deeply nested":     nested,
		"nested in a field": `{"ID":` + nested + `}`,
		"number too large":  `{"ID":"g","Term":1e400,"Generation":1}`,
		"integer too large": `{"ID":"g","Term":99999999999999999999999,"Generation":1}`,
		"port out of range": `{"ID":"g","Term":1,"Generation":1,"Servers":[{"ID":"a","Address":"10.0.0.1:99999"}]}`,
		"null":              "null",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := platform.DecodeGroup([]byte(value))
			assert.Assert(t, err != nil)
			_, err = platform.DecodeAccount([]byte(value))
			assert.Assert(t, err != nil)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"Version":4,"Items":[{"Kind":"group","Name":"g","Version":3,"Value":%s}],"Hosts":[{"PeerAddress":"10.0.0.1:99999"}]}`, value)
			}))
			defer server.Close()
			client := platform.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), platform.Options{})
			ctx := context.Background()
			// The list may be refused or hold the odd value.
			_, _ = client.List(ctx, platform.KindGroup)
			_, _ = client.Watch(ctx, 1, time.Millisecond)
			_, err = client.Hosts(ctx)
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a change of primary that waits for the answer of a server that nobody can
// ask.
func TestGroupWithAnIncompleteServerIsRefused(t *testing.T) {
	group := func(server string) error {
		_, err := platform.DecodeGroup(fmt.Appendf(nil, `{"ID":"g","Term":1,"Generation":1,"Primary":"a","Servers":[%s]}`, server))
		return err
	}
	assert.NilError(t, group(`{"ID":"a","Address":"10.0.0.1:80","DataCentre":"z"}`))
	for _, server := range []string{
		`{"Address":"10.0.0.1:80","DataCentre":"z"}`, `{"ID":"a","DataCentre":"z"}`, `{"ID":"a","Address":"","DataCentre":"z"}`,
		`{"ID":"a","Address":"10.0.0.1:0","DataCentre":"z"}`, `{"ID":"a","Address":"10.0.0.1:80"}`, "null",
	} {
		assert.Check(t, group(server) != nil, server)
	}
}
