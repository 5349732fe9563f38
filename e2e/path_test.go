package e2e_test

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/host"
	"basilmill/e2e/cluster"
)

const password = "geheim"

func config(t *testing.T) cluster.Config {
	verifier, err := cluster.Verifier(password)
	assert.NilError(t, err)
	return cluster.Config{
		Group: "naamboek", Databases: []string{"namen", "akten", "orders"},
		DataCentres: []host.DataCentre{"gent-a", "namur-a", "brussel-a"}, Region: "belgie",
		Hosts: 3, ConnectionLimit: 16,
		Account: account.Template{
			ID:       "vandermeersch",
			Groups:   []account.Claim{{Group: "naamboek", Databases: []string{"namen", "akten", "orders"}}},
			Verifier: verifier,
		},
	}
}

func connect(t *testing.T, ctx context.Context, h *cluster.Host, database string) *pgx.Conn {
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://vandermeersch:%s@%s/%s", password, h.CallerAddress(), database))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// Guards against a deployment whose components work only separately: a stock client
// writes through one host, reads through another, and writes again after the primary
// was killed.
func TestWholePath(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	conf := config(t)
	if os.Getenv("E2E_LOG") != "" {
		conf.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	c, err := cluster.Start(ctx, conf)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.Ready(ctx))

	first, second := connect(t, ctx, c.Hosts[0], "orders"), connect(t, ctx, c.Hosts[1], "orders")
	_, err = first.Exec(ctx, "CREATE TABLE report (id bigint PRIMARY KEY, name text)")
	assert.NilError(t, err)
	_, err = first.Exec(ctx, "INSERT INTO report VALUES ($1, $2)", 1, "De Smet")
	assert.NilError(t, err)
	var name string
	assert.NilError(t, second.QueryRow(ctx, "SELECT name FROM report WHERE id = $1", 1).Scan(&name))
	assert.Equal(t, name, "De Smet")

	killed := time.Now()
	c.Servers[0].Kill()
	for {
		_, err = second.Exec(ctx, "INSERT INTO report VALUES ($1, $2)", 2, "Peeters")
		if err == nil {
			break
		}
		t.Log(err)
		assert.NilError(t, ctx.Err())
	}
	t.Logf("writes land again after %s", time.Since(killed))
	assert.NilError(t, first.QueryRow(ctx, "SELECT name FROM report WHERE id = $1", 2).Scan(&name))
	assert.Equal(t, name, "Peeters")
}
