package e2e_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"basilmill/e2e/cluster"
)

// virtual runs a test against a deployment in virtual time.
func virtual(t *testing.T, conf cluster.Config, test func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		v := cluster.NewVirtualNetwork(cluster.Latencies(4*time.Millisecond, 3*time.Millisecond))
		conf.Network = v
		c, err := cluster.Start(t.Context(), conf)
		assert.NilError(t, err)
		assert.NilError(t, c.Ready(t.Context()))
		test(t, c, v)
		c.Close()
		v.Close()
		synctest.Wait()
	})
}

// dial opens a session of a client in the host's data centre.
func dial(t *testing.T, v *cluster.VirtualNetwork, client int, h *cluster.Host, database string) *pgx.Conn {
	conf, err := pgx.ParseConfig(fmt.Sprintf("postgres://vandermeersch:%s@%s/%s?sslmode=disable", password, h.CallerAddress(), database))
	assert.NilError(t, err)
	conf.DialFunc = v.ClientDialer(cluster.ClientName(client), h.DataCentre)
	conn, err := pgx.ConnectConfig(t.Context(), conf)
	assert.NilError(t, err)
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	_, err := conn.Exec(t.Context(), sql, args...)
	assert.NilError(t, err, sql)
}

// Guards against a deployment that does not run in virtual time, which the tests with
// faults need.
func TestVirtualPath(t *testing.T) {
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		conn := dial(t, v, 1, c.Hosts[0], "orders")
		exec(t, conn, "CREATE TABLE report (id bigint PRIMARY KEY, name text)")
		began := time.Now()
		exec(t, conn, "INSERT INTO report VALUES ($1, $2)", 1, "De Smet")
		t.Logf("first write took %s", time.Since(began))
		began = time.Now()
		exec(t, conn, "INSERT INTO report VALUES ($1, $2)", 2, "De Smet")
		t.Logf("second write took %s", time.Since(began))
		began = time.Now()
		c.Servers[0].Kill()
		exec(t, conn, "INSERT INTO report VALUES ($1, $2)", 3, "Peeters")
		t.Logf("write after the kill took %s", time.Since(began))
		assert.NilError(t, conn.Close(context.Background()))
	})
}

// Guards against a cancel request that is lost because the load balancer sends it to
// another host than the one that serves the session.
func TestCancelThroughAnotherHost(t *testing.T) {
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		conn := dial(t, v, 1, c.Hosts[0], "orders")
		go func() {
			time.Sleep(time.Second)
			key := conn.PgConn().PID()
			request := &pgproto3.CancelRequest{ProcessID: key, SecretKey: conn.PgConn().SecretKey()}
			encoded, err := request.Encode(nil)
			assert.NilError(t, err)
			other, err := v.ClientDialer(cluster.ClientName(2), c.Hosts[1].DataCentre)(t.Context(), "tcp", c.Hosts[1].CallerAddress().String())
			assert.NilError(t, err)
			_, err = other.Write(encoded)
			assert.NilError(t, err)
			_ = other.Close()
		}()
		began := time.Now()
		_, err := conn.Exec(t.Context(), "SELECT pg_sleep(30)")
		assert.ErrorContains(t, err, "57014")
		assert.Assert(t, time.Since(began) < 2*time.Second)
		exec(t, conn, "SELECT 1")
		assert.NilError(t, conn.Close(context.Background()))
	})
}
