package backendserver_test

import (
	"database/sql"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/stdlib"
	"gotest.tools/v3/assert"

	"basilmill/standin/backendserver"
)

// sqlState returns the SQLSTATE of an error, its text if it has no SQLSTATE, or
// "" for nil.
func sqlState(err error) string {
	var reported *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &reported):
		return reported.Code
	}
	return err.Error()
}

// order is a row of the table in TestStockClients.
type order struct {
	ID     int32
	Total  int64
	Note   *string
	Urgent bool
}

// Guards against responses that pgx or database/sql cannot process in one of
// the query modes: wrong parameter types, column types, formats or command
// tags.
func TestStockClients(t *testing.T) {
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		for _, mode := range modes {
			config := c.config("a", "")
			config.DefaultQueryExecMode = mode
			conn, err := pgx.ConnectConfig(c.ctx, config)
			assert.NilError(t, err)
			c.exec(conn, `CREATE TABLE IF NOT EXISTS clubs.orders (
				id int PRIMARY KEY, total bigint NOT NULL DEFAULT 7, note varchar(80), urgent boolean DEFAULT false, UNIQUE (note))`)
			c.exec(conn, `DELETE FROM clubs.orders`)
			note := "it's"
			tag, err := conn.Exec(c.ctx, `INSERT INTO clubs.orders VALUES ($1, $2, $3, $4), ($5, DEFAULT, $6, true)`,
				int32(1), int64(1)<<40, &note, true, int32(-2), nil)
			assert.NilError(t, err, mode.String())
			assert.Equal(t, tag.String(), "INSERT 0 2")
			tag, err = conn.Exec(c.ctx, `INSERT INTO clubs.orders (id) VALUES ($1) ON CONFLICT DO NOTHING`, int32(1))
			assert.NilError(t, err)
			assert.Equal(t, tag.String(), "INSERT 0 0")
			for range 3 {
				rows, _ := conn.Query(c.ctx, `UPDATE clubs.orders SET total = total + $1 WHERE id < $2 RETURNING *`, int64(1), int32(0))
				updated, err := pgx.CollectRows(rows, pgx.RowToStructByPos[order])
				assert.NilError(t, err)
				assert.Equal(t, len(updated), 1)
			}
			rows, _ := conn.Query(c.ctx, `SELECT * FROM clubs.orders WHERE urgent = $1 AND id <> 5 ORDER BY id DESC LIMIT $2`, true, int64(9))
			got, err := pgx.CollectRows(rows, pgx.RowToStructByPos[order])
			assert.NilError(t, err, mode.String())
			assert.DeepEqual(t, got, []order{{1, 1 << 40, &note, true}, {-2, 10, nil, true}})
			c.exec(conn, `INSERT INTO basilmill.request_key (account, key) VALUES ('clubs', $1), ('clubs', $2)`,
				"k1"+mode.String(), "k2"+mode.String())
			assert.NilError(t, conn.Ping(c.ctx))
			assert.Equal(t, c.queryInt(conn, `SELECT "offset" FROM basilmill.position()`), int64(c.servers["a"].Status().Received))
			assert.NilError(t, conn.Close(c.ctx))
		}

		db := stdlib.OpenDB(*c.config("a", ""))
		defer func() { assert.NilError(t, db.Close()) }()
		tx, err := db.BeginTx(c.ctx, &sql.TxOptions{ReadOnly: true})
		assert.NilError(t, err)
		var urgent int
		assert.NilError(t, tx.QueryRow(`SELECT count(*) FROM clubs.orders WHERE urgent = $1`, true).Scan(&urgent))
		assert.Equal(t, urgent, 2)
		_, err = tx.Exec(`DELETE FROM clubs.orders`)
		assert.Equal(t, sqlState(err), "25006")
		assert.NilError(t, tx.Rollback())
	})
}

// Guards against a pipelined batch that is not executed as one implicit
// transaction, and against a position query after a batch that returns a
// position before the batch's commit.
func TestPipelinedPosition(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		conn := c.connect("a")
		c.exec(conn, "CREATE TABLE orders (id int PRIMARY KEY)")
		before := c.queryInt(conn, "SELECT \"offset\" FROM basilmill.position()")
		p := conn.PgConn().StartPipeline(c.ctx)
		p.SendQueryParams("INSERT INTO orders VALUES ($1)", [][]byte{[]byte("1")}, nil, nil, nil)
		p.SendQueryParams("INSERT INTO orders VALUES ($1)", [][]byte{[]byte("1")}, nil, nil, nil)
		assert.NilError(t, p.Sync())
		p.SendQueryParams("INSERT INTO orders VALUES ($1)", [][]byte{[]byte("2")}, nil, nil, nil)
		assert.NilError(t, p.Sync())
		p.SendQueryParams("SELECT * FROM basilmill.position()", nil, nil, nil, nil)
		assert.NilError(t, p.Sync())
		var position string
		failures := 0
		for synced := 0; synced < 3; {
			results, err := p.GetResults()
			if err != nil {
				assert.Equal(t, sqlState(err), "23505")
				failures++
				continue
			}
			switch r := results.(type) {
			case *pgconn.ResultReader:
				if read := r.Read(); len(read.Rows) == 1 {
					position = string(read.Rows[0][2])
				} else {
					failures += len(sqlState(read.Err)) / 5
				}
			case *pgconn.PipelineSync:
				synced++
			}
		}
		assert.NilError(t, p.Close())
		assert.Equal(t, failures, 1)
		assert.Equal(t, c.queryInt(conn, "SELECT count(*) FROM orders"), int64(1))
		after := c.queryInt(conn, "SELECT \"offset\" FROM basilmill.position()")
		assert.Assert(t, after > before)
		assert.Equal(t, c.queryInt(conn, "SELECT $1::bigint", position), after)
	})
}

// Guards against wrong SQLSTATEs. Clients and the proxy conclude from them
// whether a statement ran.
func TestErrorCodes(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		conn := c.connect("a")
		c.exec(conn, "CREATE TABLE orders (id int PRIMARY KEY, note text NOT NULL DEFAULT '')")
		c.exec(conn, "INSERT INTO orders VALUES (1)")
		advance(time.Second)
		replica := c.connect("b")
		for query, want := range map[string]string{
			"SELEC 1":                                 "42601",
			"SELECT 1 FROM":                           "42601",
			"SELECT * FROM missing":                   "42P01",
			"SELECT missing FROM orders":              "42703",
			"INSERT INTO orders VALUES (1)":           "23505",
			"INSERT INTO orders VALUES (2, NULL)":     "23502",
			"INSERT INTO orders VALUES ('x')":         "22P02",
			"INSERT INTO orders VALUES (3000000000)":  "22003",
			"COPY orders FROM STDIN":                  "0A000",
			"SELECT * FROM orders WHERE id IN (1)":    "0A000",
			"SELECT note FROM orders GROUP BY note":   "0A000",
			"SAVEPOINT s":                             "0A000",
			"CREATE TABLE orders (id int)":            "42P07",
			"DROP TABLE basilmill.request_key":        "42501",
			"SELECT missing()":                        "42883",
			"BEGIN READ ONLY; DELETE FROM orders":     "25006",
			"BEGIN; SELECT * FROM missing":            "42P01",
			"SELECT basilmill.promote(1, 0, 'b')":     "55000",
			"SELECT basilmill.follow(1, 'b', 'x')":    "55000",
			"SELECT basilmill.set_successor(2,2,'b')": "55000",
			"SELECT basilmill.set_successor(1,0,'b')": "55000",
			"SELECT basilmill.quiesce(2)":             "55000",
		} {
			_, err := conn.PgConn().Exec(c.ctx, query).ReadAll()
			assert.Equal(t, sqlState(err), want, query)
			if conn.PgConn().TxStatus() == 'E' {
				_, err = conn.Exec(c.ctx, "SELECT * FROM orders")
				assert.Equal(t, sqlState(err), "25P02", query)
				c.exec(conn, "ROLLBACK")
				continue
			}
			extended := conn.PgConn().ExecParams(c.ctx, query, nil, nil, nil, nil).Read()
			assert.Equal(t, sqlState(extended.Err), want, query)
		}
		for _, query := range []string{"DELETE FROM orders", "CREATE TABLE more (id int)", "INSERT INTO orders VALUES (9)"} {
			_, err := replica.Exec(c.ctx, query)
			assert.Equal(t, sqlState(err), "25006", query)
		}
		_, err := replica.Exec(c.ctx, "SELECT * FROM basilmill.position()")
		assert.Equal(t, sqlState(err), "55000")
		assert.Equal(t, c.queryInt(replica, "SELECT count(*) FROM orders"), int64(1))
	})
}

// Guards against a connection limit that is exceeded, a start-up without the
// configured delay, and a wrong password or database that is accepted.
func TestStartup(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", func(config *backendserver.Config) {
			config.ConnectionLimit, config.StartupDelay = 2, 12*time.Millisecond
			config.User, config.Password = "notary", "zegel"
			config.Databases = []string{"lineage"}
		})
		started := time.Now()
		_, err := pgx.ConnectConfig(c.ctx, c.config("a", "&password=zegel"))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) >= 12*time.Millisecond)
		_, err = pgx.ConnectConfig(c.ctx, c.config("a", "&password=wrong"))
		assert.Equal(t, sqlState(err), "28P01")
		missing := c.config("a", "&password=zegel")
		missing.Database = "missing"
		_, err = pgx.ConnectConfig(c.ctx, missing)
		assert.Equal(t, sqlState(err), "3D000")
		second, err := pgx.ConnectConfig(c.ctx, c.config("a", "&password=zegel"))
		assert.NilError(t, err)
		_, err = pgx.ConnectConfig(c.ctx, c.config("a", "&password=zegel"))
		assert.Equal(t, sqlState(err), "53300")
		assert.NilError(t, second.Close(c.ctx))
		advance(time.Second)
		_, err = pgx.ConnectConfig(c.ctx, c.config("a", "&password=zegel"))
		assert.NilError(t, err)
		counters := c.servers["a"].Counters()
		assert.Equal(t, counters.Opened, int64(3))
		assert.Equal(t, counters.PeakOpen, int64(2))
		assert.Equal(t, counters.Refused, int64(1))
	})
}
