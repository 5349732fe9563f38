package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/e2e/cluster"
)

const (
	statedAge = time.Second
	// answerPath is the way of an answer from the host that proves its age: at
	// most 4 ms between data centres and 3 ms to the client, and as much again
	// for the rest of the answer.
	answerPath = 14 * time.Millisecond
)

// journal holds when which value was acknowledged.
type journal struct {
	mu  sync.Mutex
	ack []acknowledged
}

type acknowledged struct {
	value int
	at    time.Time
}

func (j *journal) add(value int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ack = append(j.ack, acknowledged{value, time.Now()})
}

// before returns the last value acknowledged before a time.
func (j *journal) before(t time.Time) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	value := 0
	for _, a := range j.ack {
		if a.at.Before(t) {
			value = a.value
		}
	}
	return value
}

func agedConfig(t *testing.T) cluster.Config {
	conf := config(t)
	conf.Account.ReadClasses = []account.ReadClass{{Name: "schedule", MaxAge: statedAge, Patterns: []string{`FROM report WHERE`}}}
	return conf
}

// agedReads reads through the hosts in turn and checks the age of every
// answer, up to the deadline. It returns the numbers of answers and refusals.
func agedReads(ctx context.Context, p *pooledCaller, j *journal, until time.Time, random *rand.Rand) (answered, refused int, err error) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
		i := random.IntN(len(p.hosts))
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		var got int
		conn, failure := p.conn(ctx, i)
		if failure == nil {
			failure = conn.QueryRow(ctx, "SELECT pages FROM report WHERE id = 1").Scan(&got)
		}
		cancel()
		if failure != nil {
			refused++
			continue
		}
		answered++
		if want := j.before(time.Now().Add(-answerPath - statedAge)); got < want {
			return answered, refused, fmt.Errorf("%s: read %d through host %d, but %d was acknowledged more than %s before",
				time.Now().Format("05.000"), got, i+1, want, statedAge)
		}
	}
	return answered, refused, nil
}

// runAged runs one writer and three readers during a schedule.
func runAged(t *testing.T, schedule string, seed uint64, check func(c *cluster.Cluster, answered, refused int)) {
	virtual(t, agedConfig(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		j := &journal{}
		writer := newPooledCaller(v, 1, c.Hosts)
		assert.NilError(t, writer.open(t.Context()))
		exec(t, writer.conns[0], "CREATE TABLE report (id bigint PRIMARY KEY, pages bigint)")
		exec(t, writer.conns[0], "INSERT INTO report VALUES (1, 0)")
		time.Sleep(2 * statedAge)
		until := time.Now().Add(14 * time.Second)
		var running sync.WaitGroup
		var mu sync.Mutex
		answered, refused := 0, 0
		var failures []error
		for i := range 3 {
			reader := newPooledCaller(v, i+2, c.Hosts)
			assert.NilError(t, reader.open(t.Context()))
			running.Go(func() {
				a, r, err := agedReads(t.Context(), reader, j, until, rand.New(rand.NewPCG(seed, uint64(i))))
				reader.close()
				mu.Lock()
				defer mu.Unlock()
				answered, refused = answered+a, refused+r
				if err != nil {
					failures = append(failures, err)
				}
			})
		}
		running.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				if writer.write(t.Context(), i%len(c.Hosts)) == nil {
					j.add(writer.acknowledged)
				}
				time.Sleep(50 * time.Millisecond)
			}
			writer.close()
		})
		running.Go(func() { assert.Check(t, newFaultWorld(c, v).run(schedule)) })
		running.Wait()
		t.Logf("%d writes acknowledged, %d reads answered, %d refused", len(j.ack), answered, refused)
		assert.Equal(t, len(failures), 0, "%v", failures)
		check(c, answered, refused)
	})
}

// Guards against a read that is older than its class allows, under the
// schedules recorded for current reads.
func TestReadAge(t *testing.T) {
	traces, err := filepath.Glob("testdata/read*.txtar")
	assert.NilError(t, err)
	for _, path := range traces {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			runAged(t, string(archive.Files[0].Data), 1, func(_ *cluster.Cluster, answered, _ int) {
				assert.Assert(t, answered > 0)
			})
		})
	}
}

// Guards against reads that go to the primary although replicas are fresh
// enough, the second product measure. Mix: 3 readers with a stated age of 1 s
// through 3 hosts, one writer with 20 writes a second; one replica receives
// 400 ms late, the other applies 300 ms late.
func TestReadShareOfReplicas(t *testing.T) {
	runAged(t, "0s delay 400ms c\n0s apply b 300ms\n", 1, func(c *cluster.Cluster, answered, refused int) {
		share := 1 - float64(c.Servers[0].Counters().Statements["select"])/float64(answered)
		t.Logf("served by replicas: %.2f%% of %d reads", 100*share, answered)
		assert.Assert(t, share >= 0.95)
		assert.Equal(t, refused, 0)
	})
}
