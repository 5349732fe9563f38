package link_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/exchange"
	"basilmill/core/link"
)

const (
	idleConnections = 64
	largeItemSize   = 1 << 20
	// maxIdleGrowth bounds the bytes that an idle connection holds beyond one that has
	// carried small answers only.
	maxIdleGrowth = 4 << 10
)

// heapSize returns the bytes of the reachable objects.
func heapSize() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// idleGrowth returns by how many bytes the heap has grown for each connection. It waits for
// those that are still handling their last message.
func idleGrowth(before int64) int64 {
	deadline := time.Now().Add(5 * time.Second)
	for {
		growth := (heapSize() - before) / idleConnections
		if growth <= maxIdleGrowth || time.Now().After(deadline) {
			return growth
		}
		time.Sleep(10 * time.Millisecond) // Real time: the collector does not use a fake clock.
	}
}

// Guards against idle connections that keep the answers to their last statements.
func TestIdleConnectionHoldsNoAnswers(t *testing.T) {
	size := 1
	var conns []*link.Conn
	for range idleConnections {
		stream := newFakeStream(0)
		stream.answer = func(exchange.Statement) (exchange.Answer, bool) {
			return exchange.Answer{Rows: []string{strings.Repeat("x", size)}}, true
		}
		c := link.NewConn(stream, nil)
		defer c.Close()
		conns = append(conns, c)
	}
	run := func() {
		for _, c := range conns {
			first, second := c.Submit(nil, newRead("a")), c.Submit(nil, newRead("b"))
			<-first.Done
			<-second.Done
			answers, err := second.Answers()
			assert.NilError(t, err)
			assert.Equal(t, len(answers[0].Rows[0]), size)
		}
	}
	run()
	before := heapSize()
	size = largeItemSize
	run()
	growth := idleGrowth(before)
	t.Logf("%d bytes a connection", growth)
	assert.Check(t, growth <= maxIdleGrowth)
	runtime.KeepAlive(conns)
}
