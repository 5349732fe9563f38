package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// shapeSize is the size of each shape, less than a fifth of the largest message.
	shapeSize = 192 << 10
	// maxShapes is the number of shapes that a client prepares on one process, 400 MB, which
	// exceeds the memory of the machine; it holds one at a time.
	maxShapes = 2100
	// roundsPerMachine and attackedMachines are what the rule Fault counts: three ends of the
	// processes of two machines.
	roundsPerMachine = 3
	attackedMachines = 2
)

// preparedMemory plays case 8. A client prepares a statement, executes it and releases it,
// again and again with another shape, one at a time. With trouble == false all have the same
// shape. A process above the memory of its machine is killed, as the platform does, and started
// again.
func preparedMemory(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	d.record.runSample = 500
	return d.playRounds(ctx, func(machine, round int) (bool, error) {
		return d.machines[machine].prepareMany(ctx, fmt.Sprintf("c%d-%d", machine+1, round), trouble)
	})
}

// playRounds plays the rounds on the attacked machines at the same time. A round reports whether
// the process exceeded the memory of its machine.
func (d *deployment) playRounds(ctx context.Context, play func(machine, round int) (over bool, err error)) (broken []string, err error) {
	var wait sync.WaitGroup
	ends, errs := make([]int, attackedMachines), make([]error, attackedMachines)
	for i := range attackedMachines {
		wait.Go(func() {
			for round := 1; round <= roundsPerMachine && ctx.Err() == nil && errs[i] == nil; round++ {
				var over bool
				over, errs[i] = play(i, round)
				if over {
					ends[i]++
				}
			}
		})
	}
	wait.Wait()
	return d.judgeEnds(ctx, ends, errs)
}

// judgeEnds says whether the rule Fault was broken, by how often the processes exceeded the
// memory of their machines.
func (d *deployment) judgeEnds(ctx context.Context, ends []int, errs []error) (broken []string, err error) {
	err = errors.Join(errs...)
	if servedErr := d.checkServed(ctx); servedErr != nil {
		d.record.note("ordinary client: %v", servedErr)
	}
	machines := 0
	for i, n := range ends {
		d.record.note("%s: %d times over %d MB", d.machines[i].name, n, memoryMB)
		if n >= roundsPerMachine {
			machines++
		}
	}
	if machines >= attackedMachines {
		broken = append(broken, fmt.Sprintf("Fault: the processes of %d machines exceeded %d MB %d times each, without a disturbance there", machines, memoryMB, roundsPerMachine))
	}
	return broken, err
}

// prepareMany is one round of a client. It reports whether the process exceeded the memory of
// its machine.
func (m *machine) prepareMany(ctx context.Context, name string, trouble bool) (over bool, err error) {
	d := m.deployment
	c, err := d.open(ctx, m, name, "lepu270")
	if err != nil {
		return false, err
	}
	defer c.close()
	before, _ := m.memory()
	random := rand.New(rand.NewPCG(1, 2))
	filler := strings.Repeat("abcdefgh", shapeSize/8)
	for n := 1; n <= maxShapes && ctx.Err() == nil; n++ {
		shape := "q2c"
		if trouble {
			shape = fmt.Sprintf("q%x", random.Uint64())
		}
		shape += filler[len(shape):]
		for _, text := range []string{"PREPARE s1 READ " + shape, "EXECUTE s1 1a4", "RELEASE s1"} {
			if _, r, err := c.request(text, n <= 3); err != nil || r.failed != "" {
				d.record.note("%s: after %d shapes: %v %s", name, n, err, r.failed)
				time.Sleep(20 * time.Millisecond)
				if err != nil {
					return false, err
				}
			}
		}
		now, alive := m.memory()
		if n%300 == 0 {
			d.record.note("%s: %d shapes prepared, executed and released, %d MB (%d MB before)", m.name, n, now, before)
		}
		if !alive {
			return false, fmt.Errorf("%s has ended", m.name)
		}
		if now > memoryMB {
			d.record.note("%s: %d MB after %d shapes of one client, which holds none of them now", m.name, now, n)
			return true, m.restart()
		}
	}
	now, _ := m.memory()
	d.record.note("%s: %d MB at the end of %s (%d MB before)", m.name, now, name, before)
	return false, nil
}

// checkServed checks that each machine serves an ordinary client.
func (d *deployment) checkServed(ctx context.Context) error {
	for i, m := range d.machines {
		c, err := d.open(ctx, m, fmt.Sprintf("ordinary%d", i+1), "lepu270")
		if err != nil {
			return err
		}
		_, r, err := c.request("READ 1a4", true)
		c.close()
		if err != nil || r.failed != "" {
			return fmt.Errorf("%s: %v %s", m.name, err, r.failed)
		}
	}
	return nil
}
