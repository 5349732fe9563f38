package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// stabilityWindow and applyTime are bounds.stabilityWindowMs and bounds.configApplyMs.
	stabilityWindow = 4 * time.Second
	applyTime       = 3 * time.Second
	// laterTime is how much later than the bound the requests are sent.
	laterTime = 2 * time.Second
)

// movedStore plays case 10. The platform's store gets another address, which the settings files
// state from then on; no signal says so. After that a config drops a route. With trouble == false
// the store stays where it is.
func movedStore(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	var open []*client
	for i, m := range d.machines {
		c, err := d.open(ctx, m, fmt.Sprintf("old%d", i), "fiti832")
		if err != nil {
			return nil, err
		}
		defer c.close()
		if _, r, err := c.request("READ 1a4", true); err != nil || r.failed != "" {
			return nil, fmt.Errorf("before the change: %v %s", err, r.failed)
		}
		open = append(open, c)
	}
	if trouble {
		if err := d.store.move(); err != nil {
			return nil, err
		}
		for _, m := range d.machines {
			if err := m.writeSettings(); err != nil {
				return nil, err
			}
			d.record.note("%s: the settings file says platform.address=%s, without a signal", m.name, d.store.address())
		}
	}
	time.Sleep(2 * stabilityWindow)
	next := config(8)
	next["routes"] = next["routes"].([]any)[:1]
	d.store.write("config", "main", next)
	d.record.note("version 8 of the config, without the route of fiti832, is confirmed")
	time.Sleep(applyTime + laterTime)
	for i, m := range d.machines {
		if id, r, err := open[i].request("READ 1a4", true); err == nil && r.failed == "" {
			broken = append(broken, fmt.Sprintf("CONFIG: %s runs %s on the dropped route of fiti832, %v after the confirmation", m.name, id, applyTime+laterTime))
		}
		if c, err := d.open(ctx, m, fmt.Sprintf("new%d", i), "fiti832"); err == nil {
			c.close()
		} else {
			d.record.note("new%d: a session on %s for fiti832 is refused: %v", i, m.name, err)
		}
	}
	return broken, nil
}
