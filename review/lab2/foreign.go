package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recoveryTime is bounds.recoveryS.
	recoveryTime = 12 * time.Second
	// heartbeat is heartbeatMs.
	heartbeat = 1200 * time.Millisecond
	// downTime is how long the machines are without power.
	downTime = 1500 * time.Millisecond
	// requestInterval is the pause between two requests of a client.
	requestInterval = 50 * time.Millisecond
	phaseTime       = 5 * time.Second
)

// foreignEntry plays case 10. A writer that is no database leaves an entry that lacks most fields
// in the list of the databases. A database, the primary, is lost for good as all machines lose
// power after a change of the config. With trouble == false there is no such entry.
func foreignEntry(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	if trouble {
		address, err := unusedAddress()
		if err != nil {
			return nil, err
		}
		writing, stop := context.WithCancel(ctx)
		defer stop()
		go d.writeForeignEntry(writing, address)
	}
	d.record.runSample = 100
	before := d.playClients(ctx, phaseTime)
	d.store.write("config", "main", config(8))
	d.record.note("the config is changed, and all machines lose power")
	for _, m := range d.machines {
		m.kill()
	}
	d.service.databases[0].lose(d.store)
	time.Sleep(downTime)
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	for _, m := range d.machines {
		if err := m.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(recoveryTime)
	after := d.playClients(ctx, phaseTime)
	d.record.note("served before the final fault: %v; later than %v after the machines were back: %v", before, recoveryTime, after)
	if 4*before.served < before.sent {
		return nil, fmt.Errorf("only %v were served before the final fault", before)
	}
	if 4*after.served < after.sent {
		broken = append(broken, fmt.Sprintf("RECOVER: later than %v after the machines were back %v requests were served, before the final fault %v", recoveryTime, after, before))
	}
	return broken, nil
}

// writeForeignEntry writes the entry, and again like a database, so that it does not expire.
func (d *deployment) writeForeignEntry(ctx context.Context, address string) {
	d.record.note("another writer writes the entry x-0a1, without configVersion, slots, coldRemainingMs and sequence")
	for ctx.Err() == nil {
		d.store.write("servers", "x-0a1", map[string]any{
			"service": "dele69a", "address": address, "zone": "namur-a", "state": "ready", "dbRole": "replica",
		})
		time.Sleep(heartbeat)
	}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// tally counts requests.
type tally struct{ sent, served int64 }

func (t tally) String() string { return fmt.Sprintf("%d of %d", t.served, t.sent) }

// playClients lets a client of each route send requests to each machine for some time.
func (d *deployment) playClients(ctx context.Context, period time.Duration) tally {
	var sent, served atomic.Int64
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	for i, m := range d.machines {
		for j, database := range []string{"lepu270", "fiti832"} {
			wait.Go(func() {
				name := fmt.Sprintf("c%d%d", i, j)
				var c *client
				for n := 0; ctx.Err() == nil; n++ {
					sent.Add(1)
					var err error
					if c == nil {
						c, err = d.open(ctx, m, name, database)
					}
					if err == nil {
						text := "READ 1a4"
						if j == 0 && n%3 == 0 {
							text = fmt.Sprintf("WRITE 1a4 v%d", n)
						}
						var r result
						if _, r, err = c.request(text, n < 3); err == nil && r.failed == "" {
							served.Add(1)
						}
					}
					if err != nil && c != nil {
						c.close()
						c = nil
					}
					time.Sleep(requestInterval)
				}
				if c != nil {
					c.close()
				}
			})
		}
	}
	wait.Wait()
	return tally{sent.Load(), served.Load()}
}
