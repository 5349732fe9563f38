package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"basilmill/e2e/cluster"
	"basilmill/e2e/histories"
)

const (
	// requestInterval is the interval at which a new request is sent to each host,
	// even if earlier ones are not answered.
	requestInterval = 50 * time.Millisecond
	// requestTimeout exceeds the confirmation timeout of 5 s and the retry timeout of
	// keyed writes of 8 s, so that callers receive the host's own answer.
	requestTimeout = 15 * time.Second
	// referenceRows is the number of rows of a table that is read completely to
	// detect truncated answers.
	referenceRows = 50
)

// workload sends requests through all hosts and records their answers.
type workload struct {
	cluster *cluster.Cluster
	network *cluster.VirtualNetwork
	history histories.History
	swaps   histories.Register
	// omitKeys makes requests omit their request keys, so that repeated requests may
	// run twice and violate I6.
	omitKeys bool

	running        sync.WaitGroup
	mu             sync.Mutex
	idleConns      map[*cluster.Host][]*pgx.Conn
	lastID         int
	registerValues map[string]int // the last known value of each register
}

func newWorkload(c *cluster.Cluster, v *cluster.VirtualNetwork) *workload {
	return &workload{cluster: c, network: v, idleConns: map[*cluster.Host][]*pgx.Conn{}, registerValues: map[string]int{}}
}

func (w *workload) prepare(ctx context.Context) error {
	conn, err := w.acquire(ctx, w.cluster.Hosts[0])
	if err != nil {
		return err
	}
	defer w.release(w.cluster.Hosts[0], conn, nil)
	setup := []string{
		"CREATE TABLE reference (id bigint PRIMARY KEY, name text)",
		"CREATE TABLE register (name text PRIMARY KEY, value bigint)",
		"INSERT INTO register VALUES ('r0', 0), ('r1', 0)",
	}
	for _, table := range w.tables() {
		setup = append(setup, "CREATE TABLE "+table+" (value text, part bigint)")
	}
	for i := range referenceRows {
		setup = append(setup, fmt.Sprintf("INSERT INTO reference VALUES (%d, 'name-%d')", i, i))
	}
	for _, sql := range setup {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return fmt.Errorf("%s: %w", sql, err)
		}
	}
	return nil
}

// keyedTable is the table of keyed requests.
const keyedTable = "keyed"

// plainTable returns the table of a host's plain writes. Plain writes and transactions
// of each host have tables of their own, because the stand-in locks whole tables: a
// transaction on an isolated host would block writes on the others.
func plainTable(h *cluster.Host) string {
	return "plain_" + strings.ReplaceAll(string(h.Self().ID), "-", "_")
}

func transactionTable(h *cluster.Host) string {
	return "transaction_" + strings.ReplaceAll(string(h.Self().ID), "-", "_")
}

func (w *workload) tables() []string {
	tables := []string{keyedTable}
	for _, h := range w.cluster.Hosts {
		tables = append(tables, plainTable(h), transactionTable(h))
	}
	return tables
}

// clientMachine returns the name of the machine of the clients of a host.
func clientMachine(h *cluster.Host) string { return "client-" + string(h.Self().ID) }

func (w *workload) acquire(ctx context.Context, h *cluster.Host) (*pgx.Conn, error) {
	w.mu.Lock()
	if idle := w.idleConns[h]; len(idle) > 0 {
		conn := idle[len(idle)-1]
		w.idleConns[h] = idle[:len(idle)-1]
		w.mu.Unlock()
		return conn, nil
	}
	w.mu.Unlock()
	conf, err := pgx.ParseConfig(fmt.Sprintf("postgres://vandermeersch:%s@%s/orders?sslmode=disable", password, h.CallerAddress()))
	if err != nil {
		return nil, err
	}
	conf.DialFunc = w.network.ClientDialer(clientMachine(h), h.DataCentre)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return pgx.ConnectConfig(ctx, conf)
}

// release returns a session for reuse, or closes it if a failure may have left it in a
// transaction.
func (w *workload) release(h *cluster.Host, conn *pgx.Conn, err error) {
	if conn.IsClosed() || err != nil && conn.PgConn().TxStatus() != 'I' {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idleConns[h] = append(w.idleConns[h], conn)
}

// run sends requests until ctx ends, and waits for their answers.
func (w *workload) run(ctx context.Context) {
	for i, h := range w.cluster.Hosts {
		w.running.Go(func() {
			ticker := time.NewTicker(requestInterval)
			defer ticker.Stop()
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					kind, seed := random.IntN(100), random.Uint64()
					w.running.Go(func() { w.sendRequest(h, kind, rand.New(rand.NewPCG(seed, 2))) })
				}
			}
		})
	}
	w.running.Wait()
}

func (w *workload) close() {
	for _, idle := range w.idleConns {
		for _, conn := range idle {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = conn.Close(ctx)
			cancel()
		}
	}
}

func (w *workload) sendRequest(h *cluster.Host, kind int, random *rand.Rand) {
	value := w.nextValue()
	switch {
	case kind < 40:
		w.attempt(h, histories.Write{Value: value, Rows: 1}, insert(plainTable(h), value, kind%2 == 0))
	case kind < 60:
		w.attempt(h, histories.Write{Value: value, Rows: 2}, transaction(transactionTable(h), value, "COMMIT"))
	case kind < 65:
		w.attempt(h, histories.Write{Value: value, Rows: 2}, transaction(transactionTable(h), value, "ROLLBACK"))
	case kind < 75:
		w.sendKeyed(h, value, random.IntN(3) == 0)
	case kind < 80:
		// Cancels the request after a random time and closes the connection.
		timeout := time.Duration(random.IntN(20)) * time.Millisecond
		w.attempt(h, histories.Write{Value: value, Rows: 1}, cancelAfter(timeout, insert(plainTable(h), value, false)))
	case kind < 90:
		w.swapRegister(h, fmt.Sprintf("r%d", random.IntN(2)))
	default:
		w.checkAnswers(h, value, random.IntN(2) == 0)
	}
}

func (w *workload) nextValue() histories.Value {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return histories.Value(fmt.Sprintf("v%d", w.lastID))
}

// statement runs a request on a session and returns the number of rows that its answer
// reports as written.
type statement func(ctx context.Context, conn *pgx.Conn) (rows int, err error)

// errRolledBack is the error of a transaction that was not committed.
var errRolledBack = errors.New("rolled back")

// wrongAnswerError reports an answer that belongs to another request.
type wrongAnswerError struct{ want, got string }

func (e wrongAnswerError) Error() string {
	return fmt.Sprintf("answer %q instead of %q", e.got, e.want)
}

// attempt runs a request once, records it, and reports whether it succeeded.
func (w *workload) attempt(h *cluster.Host, record histories.Write, run statement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := w.acquire(ctx, h)
	if err != nil {
		return false
	}
	record.Host, record.Start = string(h.Self().ID), time.Now()
	rows, err := run(ctx, conn)
	if err != nil && record.Keyed {
		// The request key stays set on the session until a write uses it.
		_ = conn.Close(ctx)
	}
	record.End = time.Now()
	record.Outcome, record.Code = classifyAnswer(err)
	if record.Outcome == histories.Done {
		record.Rows = rows
	}
	w.history.Add(record)
	var wrong wrongAnswerError
	if errors.As(err, &wrong) {
		w.history.AddViolation(histories.Violation{Invariant: histories.AnswersAreComplete, Detail: err.Error()})
	}
	w.release(h, conn, err)
	return record.Outcome == histories.Done
}

// classifyAnswer returns the outcome that an answer states, with its code.
func classifyAnswer(err error) (o histories.Outcome, code string) {
	var answer *pgconn.PgError
	switch {
	case err == nil:
		return histories.Done, ""
	case errors.Is(err, errRolledBack):
		return histories.NotRun, err.Error()
	case !errors.As(err, &answer):
		return histories.Unknown, "connection"
	case answer.Code == "08007" || strings.HasPrefix(answer.Detail, "outcome unknown"):
		return histories.Unknown, answer.Code
	case answer.Severity == "FATAL" && !strings.HasPrefix(answer.Detail, "not run"):
		return histories.Unknown, answer.Code
	default:
		return histories.NotRun, answer.Code
	}
}

func insert(table string, value histories.Value, simple bool) statement {
	return func(ctx context.Context, conn *pgx.Conn) (int, error) {
		var got string
		var args []any
		if simple {
			args = append(args, pgx.QueryExecModeSimpleProtocol)
		}
		err := conn.QueryRow(ctx, "INSERT INTO "+table+" VALUES ($1, 0) RETURNING value", append(args, string(value))...).Scan(&got)
		if err == nil && got != string(value) {
			err = wrongAnswerError{string(value), got}
		}
		return 1, err
	}
}

// cancelAfter runs a request and cancels it after a duration, which closes the
// connection.
func cancelAfter(after time.Duration, run statement) statement {
	return func(ctx context.Context, conn *pgx.Conn) (int, error) {
		ctx, cancel := context.WithTimeout(ctx, after)
		defer cancel()
		return run(ctx, conn)
	}
}

// transaction writes two rows in a transaction that ends with the given statement. A
// failure before COMMIT is sent means that the transaction did not run.
func transaction(table string, value histories.Value, end string) statement {
	return func(ctx context.Context, conn *pgx.Conn) (int, error) {
		if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
			return 0, asRolledBack(err)
		}
		for part := range 2 {
			if _, err := conn.Exec(ctx, "INSERT INTO "+table+" VALUES ($1, $2)", string(value), part); err != nil {
				return 0, asRolledBack(err)
			}
			var got string
			err := conn.QueryRow(ctx, "SELECT value FROM "+table+" WHERE value = $1 LIMIT 1", string(value)).Scan(&got)
			if err == nil && got != string(value) {
				err = wrongAnswerError{string(value), got}
			}
			if err != nil {
				return 0, asRolledBack(err)
			}
		}
		tag, err := conn.Exec(ctx, end)
		if end == "ROLLBACK" || err == nil && tag.String() == "ROLLBACK" {
			return 0, errRolledBack
		}
		return 2, err
	}
}

func asRolledBack(err error) error {
	var wrong wrongAnswerError
	if errors.As(err, &wrong) {
		return err
	}
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return fmt.Errorf("%w: %s", errRolledBack, answer.Code)
	}
	return fmt.Errorf("%w: connection", errRolledBack)
}

// sendKeyed sends a request with a request key through the hosts in turn until it
// succeeds, and then once more. Each attempt inserts a different number of rows, so that
// the answer tells which attempt ran. If concurrent is set, the first two attempts run
// at the same time.
func (w *workload) sendKeyed(h *cluster.Host, value histories.Value, concurrent bool) {
	const attempts = 5
	first := 0
	for i, each := range w.cluster.Hosts {
		if each == h {
			first = i
		}
	}
	hostAt := func(i int) *cluster.Host { return w.cluster.Hosts[(first+i)%len(w.cluster.Hosts)] }
	run := func(i int) bool {
		return w.attempt(hostAt(i), histories.Write{Value: value, Rows: i + 1, Keyed: true}, w.insertKeyed(value, i+1))
	}
	start, done := 0, 0
	if concurrent {
		start = 1
		w.running.Go(func() { run(0) })
	}
	for i := start; i < attempts && done < 2; i++ {
		if run(i) {
			done++
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *workload) insertKeyed(value histories.Value, rows int) statement {
	return func(ctx context.Context, conn *pgx.Conn) (int, error) {
		if !w.omitKeys {
			if _, err := conn.Exec(ctx, fmt.Sprintf("SET basilmill.request_key = '%s'", value)); err != nil {
				return 0, asRolledBack(err)
			}
		}
		var parts []string
		for part := range rows {
			parts = append(parts, fmt.Sprintf("($1, %d)", part))
		}
		tag, err := conn.Exec(ctx, "INSERT INTO "+keyedTable+" VALUES "+strings.Join(parts, ", "), string(value))
		return int(tag.RowsAffected()), err
	}
}

// swapRegister sets a register to a new value if it holds the last known value.
func (w *workload) swapRegister(h *cluster.Host, register string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := w.acquire(ctx, h)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.lastID++
	s := histories.Swap{Register: register, Old: w.registerValues[register], New: w.lastID, Start: time.Now()}
	w.mu.Unlock()
	tag, err := conn.Exec(ctx, "UPDATE register SET value = $1 WHERE name = $2 AND value = $3", s.New, register, s.Old)
	s.End, s.Succeeded = time.Now(), tag.RowsAffected() == 1
	s.Outcome, _ = classifyAnswer(err)
	s.Host = string(h.Self().ID)
	w.swaps.Add(s)
	w.release(h, conn, err)
	if s.Outcome == histories.Done && s.Succeeded {
		w.mu.Lock()
		w.registerValues[register] = s.New
		w.mu.Unlock()
	} else {
		w.readRegister(ctx, h, register)
	}
}

// readRegister reads the value of a register for the next swaps.
func (w *workload) readRegister(ctx context.Context, h *cluster.Host, register string) {
	conn, err := w.acquire(ctx, h)
	if err != nil {
		return
	}
	var value int
	err = conn.QueryRow(ctx, "SELECT value FROM register WHERE name = $1", register).Scan(&value)
	if err == nil {
		w.mu.Lock()
		w.registerValues[register] = value
		w.mu.Unlock()
	}
	w.release(h, conn, err)
}

// checkAnswers checks that answers are complete and in order: those of three small
// queries and a large one in one batch. If cancelled is set, the batch is cancelled after
// 12 ms.
func (w *workload) checkAnswers(h *cluster.Host, tag histories.Value, cancelled bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	if cancelled {
		ctx, cancel = context.WithTimeout(context.Background(), 12*time.Millisecond)
	}
	defer cancel()
	conn, err := w.acquire(ctx, h)
	if err != nil {
		return
	}
	var batch pgx.Batch
	for i := range 3 {
		batch.Queue(fmt.Sprintf("SELECT '%s-%d'", tag, i))
	}
	batch.Queue("SELECT id, name FROM reference ORDER BY id")
	results := conn.SendBatch(ctx, &batch)
	for i := range 3 {
		want, got := fmt.Sprintf("%s-%d", tag, i), ""
		if err = results.QueryRow().Scan(&got); err == nil && got != want {
			w.history.AddViolation(histories.Violation{Invariant: histories.AnswersAreComplete, Detail: wrongAnswerError{want, got}.Error()})
		}
	}
	count, err := countReferenceRows(results)
	if err == nil && count != referenceRows {
		w.history.AddViolation(histories.Violation{Invariant: histories.AnswersAreComplete, Detail: fmt.Sprintf("%d of %d rows", count, referenceRows)})
	}
	if closed := results.Close(); err == nil {
		err = closed
	}
	w.release(h, conn, err)
}

func countReferenceRows(results pgx.BatchResults) (count int, err error) {
	rows, err := results.Query()
	if err != nil {
		return 0, err
	}
	defer rows.Close()
	for ; rows.Next(); count++ {
		var id int
		var name string
		if err := rows.Scan(&id, &name); err != nil {
			return count, err
		}
		if want := fmt.Sprintf("name-%d", id); id != count || name != want {
			return count, wrongAnswerError{want, name}
		}
	}
	return count, rows.Err()
}

// countRows reads all tables through a host and counts the rows by value.
func (w *workload) countRows(ctx context.Context, h *cluster.Host) (count map[histories.Value]int, err error) {
	conn, err := w.acquire(ctx, h)
	if err != nil {
		return nil, err
	}
	defer func() { w.release(h, conn, err) }()
	count = map[histories.Value]int{}
	for _, table := range w.tables() {
		rows, err := conn.Query(ctx, "SELECT value FROM "+table)
		if err != nil {
			return nil, err
		}
		values, err := pgx.CollectRows(rows, pgx.RowTo[string])
		if err != nil {
			return nil, err
		}
		for _, value := range values {
			count[histories.Value(value)]++
		}
	}
	return count, nil
}
