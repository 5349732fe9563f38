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
	maxReadAge = time.Second
	// answerDelay is the time that an answer may take from the host that proves its
	// age: at most 4 ms between data centres and 3 ms to the client, and the same
	// again for the rest of the answer.
	answerDelay = 14 * time.Millisecond
)

// ackLog records the acknowledged values with the time of their acknowledgement.
type ackLog struct {
	mu      sync.Mutex
	entries []acknowledgement
}

type acknowledgement struct {
	value int
	at    time.Time
}

func (j *ackLog) add(value int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, acknowledgement{value, time.Now()})
}

// lastBefore returns the last value that was acknowledged before a time, or zero.
func (j *ackLog) lastBefore(t time.Time) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	value := 0
	for _, a := range j.entries {
		if a.at.Before(t) {
			value = a.value
		}
	}
	return value
}

func boundedAgeConfig(t *testing.T) cluster.Config {
	conf := config(t)
	conf.Account.ReadClasses = []account.ReadClass{{Name: "schedule", MaxAge: maxReadAge, Patterns: []string{`FROM report WHERE`}}}
	return conf
}

// runBoundedAgeReads reads through random hosts until the given time and checks the age
// of every answer. It returns the numbers of answered and refused reads.
func runBoundedAgeReads(ctx context.Context, p *pooledCaller, j *ackLog, until time.Time, random *rand.Rand) (answered, refused int, err error) {
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
		if want := j.lastBefore(time.Now().Add(-answerDelay - maxReadAge)); got < want {
			return answered, refused, fmt.Errorf("%s: read %d through host %d, but %d was acknowledged more than %s before",
				time.Now().Format("05.000"), got, i+1, want, maxReadAge)
		}
	}
	return answered, refused, nil
}

// runBoundedAge runs one writer and three readers during a schedule of faults.
func runBoundedAge(t *testing.T, schedule string, seed uint64, check func(c *cluster.Cluster, answered, refused int)) {
	virtual(t, boundedAgeConfig(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		j := &ackLog{}
		writer := newPooledCaller(v, 1, c.Hosts)
		assert.NilError(t, writer.open(t.Context()))
		exec(t, writer.conns[0], "CREATE TABLE report (id bigint PRIMARY KEY, pages bigint)")
		exec(t, writer.conns[0], "INSERT INTO report VALUES (1, 0)")
		time.Sleep(2 * maxReadAge)
		until := time.Now().Add(14 * time.Second)
		var running sync.WaitGroup
		var mu sync.Mutex
		answered, refused := 0, 0
		var failures []error
		for i := range 3 {
			reader := newPooledCaller(v, i+2, c.Hosts)
			assert.NilError(t, reader.open(t.Context()))
			running.Go(func() {
				a, r, err := runBoundedAgeReads(t.Context(), reader, j, until, rand.New(rand.NewPCG(seed, uint64(i))))
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
		running.Go(func() { assert.Check(t, newFaultInjector(c, v).run(schedule)) })
		running.Wait()
		t.Logf("%d writes acknowledged, %d reads answered, %d refused", len(j.entries), answered, refused)
		assert.Equal(t, len(failures), 0, "%v", failures)
		check(c, answered, refused)
	})
}

// Guards against a read that is older than its class allows, under the schedules
// recorded for TestReadOwnWrites.
func TestReadAge(t *testing.T) {
	traces, err := filepath.Glob("testdata/read*.txtar")
	assert.NilError(t, err)
	for _, path := range traces {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			runBoundedAge(t, string(archive.Files[0].Data), 1, func(_ *cluster.Cluster, answered, _ int) {
				assert.Assert(t, answered > 0)
			})
		})
	}
}

// Guards against reads that go to the primary although replicas are recent enough, the
// second product measure: replicas must serve at least 95%. Three readers with a maximum
// age of 1 s read through 3 hosts, and one writer writes 20 times a second. One replica
// receives 400 ms late, the other applies 300 ms late.
func TestReadShareOfReplicas(t *testing.T) {
	runBoundedAge(t, "0s delay 400ms c\n0s apply b 300ms\n", 1, func(c *cluster.Cluster, answered, refused int) {
		share := 1 - float64(c.Servers[0].Counters().Statements["select"])/float64(answered)
		t.Logf("served by replicas: %.2f%% of %d reads", 100*share, answered)
		assert.Assert(t, share >= 0.95)
		assert.Equal(t, refused, 0)
	})
}
