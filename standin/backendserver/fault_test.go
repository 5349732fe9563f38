package backendserver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/standin/backendserver"
)

// Guards against cuts that do not apply to existing or new connections, that
// apply to other clients, or that lose bytes on a blocked connection.
func TestCuts(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		blackHoled, err := pgx.ConnectConfig(c.ctx, c.config("a", "&application_name=host-1"))
		assert.NilError(t, err)
		other := c.connect("a")
		c.exec(other, "CREATE TABLE orders (id int PRIMARY KEY)")
		advance(time.Second)
		a := c.servers["a"]
		a.SetFaults(backendserver.Faults{Cuts: []backendserver.Cut{
			{Mode: backendserver.BlackHole, Applications: []string{"host-"}, Replicas: []group.ServerID{"b"}},
		}})
		answered := make(chan error, 1)
		go func() {
			_, err := blackHoled.Exec(c.ctx, "INSERT INTO orders VALUES (1)")
			answered <- err
		}()
		dialCtx, cancel := context.WithTimeout(c.ctx, time.Second)
		defer cancel()
		_, err = pgx.ConnectConfig(dialCtx, c.config("a", "&application_name=host-2"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		c.exec(other, "INSERT INTO orders VALUES (2)")
		before := c.servers["b"].Status().Received
		assert.Assert(t, before < a.Status().Received)
		assert.Equal(t, len(answered), 0)
		assert.Equal(t, c.queryInt(other, "SELECT count(*) FROM orders"), int64(1))
		a.SetFaults(backendserver.Faults{})
		assert.NilError(t, <-answered)
		advance(time.Second)
		assert.Equal(t, c.servers["b"].Status().Received, a.Status().Received)

		a.SetFaults(backendserver.Faults{Cuts: []backendserver.Cut{{AllClients: true}}})
		assert.Assert(t, other.Ping(c.ctx) != nil)
		_, err = pgx.ConnectConfig(c.ctx, c.config("a", ""))
		assert.Assert(t, err != nil)
		a.SetFaults(backendserver.Faults{StatementDelay: time.Second})
		conn := c.connect("a")
		started := time.Now()
		c.queryInt(conn, `SELECT "offset" FROM basilmill.position()`)
		assert.Assert(t, time.Since(started) < time.Second)
		assert.Equal(t, c.queryInt(conn, "SELECT count(*) FROM orders"), int64(2))
		assert.Assert(t, time.Since(started) >= time.Second)
		a.CloseConnections()
		assert.Assert(t, conn.Ping(c.ctx) != nil)
		assert.Equal(t, a.Counters().Statements["insert"], int64(2))
	})
}

// Guards against a POST /fault that resets faults absent from its body, or that
// keeps fields of a replaced cut.
func TestAdminFaults(t *testing.T) {
	server := backendserver.New(backendserver.Config{ID: "a"})
	post := func(body string) string {
		response := httptest.NewRecorder()
		server.AdminHandler().ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/fault", strings.NewReader(body)))
		if response.Code != http.StatusOK {
			return http.StatusText(response.Code)
		}
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return string(text)
	}
	post(`{"ReplicationDelay":"150ms","Cuts":[{"Mode":"BlackHole","AllClients":true}]}`)
	post(`{"Leaving":true}`)
	assert.DeepEqual(t, server.Faults(), backendserver.Faults{
		ReplicationDelay: 150 * time.Millisecond, Leaving: true,
		Cuts: []backendserver.Cut{{Mode: backendserver.BlackHole, AllClients: true}},
	})
	response := post(`{"Cuts":[{"Mode":"Refuse","Feeds":["b"]}],"ReplicationDelay":"0s"}`)
	want := backendserver.Faults{Leaving: true, Cuts: []backendserver.Cut{{Replicas: []group.ServerID{"b"}}}}
	assert.DeepEqual(t, server.Faults(), want)
	getResponse := httptest.NewRecorder()
	server.AdminHandler().ServeHTTP(getResponse, httptest.NewRequest(http.MethodGet, "/fault", nil))
	assert.Equal(t, getResponse.Body.String(), response)
	assert.Equal(t, post(`{"Mode":1}`), http.StatusText(http.StatusBadRequest))
	assert.Equal(t, post(`{"Cuts":[{"Mode":"Maybe"}]}`), http.StatusText(http.StatusBadRequest))
	post(`{"Cuts":[]}`)
	assert.Equal(t, len(server.Faults().Cuts), 0)
}
