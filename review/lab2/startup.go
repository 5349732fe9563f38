package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	// startupSize is the size of the second field of CONNECT, "who is connecting (any word)":
	// with it the message has less than the largest size.
	startupSize = 1<<20 - 64
	// openSessions is the number of sessions that stand open on a machine. It is about that of
	// the deployment, and far below what the descriptors of a machine allow.
	openSessions = 320
)

// startupMemory plays case 9. On the first machine a crowd opens one session after the other and
// stays connected, and each names a long user. On the second one a client prepares statements
// under long ids. With trouble == false users and ids are short.
func startupMemory(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	return d.playRounds(ctx, func(machine, round int) (bool, error) {
		if machine == 0 {
			return d.machines[machine].openMany(ctx, round, trouble)
		}
		return d.machines[machine].prepareUnderIDs(ctx, round, trouble)
	})
}

// openMany is one round of the crowd. It reports whether the process exceeded the memory of its
// machine.
func (m *machine) openMany(ctx context.Context, round int, trouble bool) (over bool, err error) {
	d := m.deployment
	before, _ := m.memory()
	var open []*client
	defer func() {
		for _, c := range open {
			c.close()
		}
	}()
	for n := 1; n <= openSessions && ctx.Err() == nil; n++ {
		user := fmt.Sprintf("u%d", n)
		if trouble {
			user += strings.Repeat("x", startupSize-len(user))
		}
		c, err := d.open(ctx, m, user, "lepu270")
		if err != nil {
			d.record.note("%s: session %d of round %d is refused: %v", m.name, n, round, err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		open = append(open, c)
		now, alive := m.memory()
		if n%40 == 0 {
			d.record.note("%s: %d sessions open, %d MB (%d MB before)", m.name, len(open), now, before)
		}
		if !alive {
			return false, fmt.Errorf("%s has ended", m.name)
		}
		if now > memoryMB {
			d.record.note("%s: %d MB with %d idle sessions", m.name, now, len(open))
			return true, m.restart()
		}
	}
	now, _ := m.memory()
	d.record.note("%s: %d MB with %d idle sessions at the end of round %d (%d MB before)", m.name, now, len(open), round, before)
	return false, nil
}

// prepareUnderIDs is one round of a client with one session, which prepares ordinary statements
// and has as many names as the crowd has sessions.
func (m *machine) prepareUnderIDs(ctx context.Context, round int, trouble bool) (over bool, err error) {
	d := m.deployment
	c, err := d.open(ctx, m, fmt.Sprintf("p%d", round), "lepu270")
	if err != nil {
		return false, err
	}
	defer c.close()
	before, _ := m.memory()
	if trouble {
		c.idSuffix = strings.Repeat("0", startupSize-64)
	}
	for n := 1; n <= openSessions && ctx.Err() == nil; n++ {
		if _, r, err := c.request(fmt.Sprintf("PREPARE s%d READ q%x", n, n), n <= 3); err != nil || r.failed != "" {
			d.record.note("%s: PREPARE %d of round %d: %v %s", m.name, n, round, err, r.failed)
			if err != nil {
				return false, err
			}
		}
		now, alive := m.memory()
		if n%40 == 0 {
			d.record.note("%s: %d names prepared in one session, %d MB (%d MB before)", m.name, n, now, before)
		}
		if !alive {
			return false, fmt.Errorf("%s has ended", m.name)
		}
		if now > memoryMB {
			d.record.note("%s: %d MB with %d names in one session", m.name, now, n)
			return true, m.restart()
		}
	}
	now, _ := m.memory()
	d.record.note("%s: %d MB with %d names in one session at the end of round %d (%d MB before)", m.name, now, openSessions, round, before)
	return false, nil
}
