package main

import (
	"context"
	"fmt"
	"strings"
)

// preparedCollision plays case 7. The first client prepares a read, the second one a write. The
// shapes differ, but the system gives both the same name on its connections, a hash without a
// key of which a second text is found in a second. With trouble == false the first shape has
// another last letter.
func preparedCollision(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	const writeShape, ordinaryShape, item = "q2c", "s4modfcyl9cylcloam3", "1a4"
	readShape := "s4modfcyl9cylcloam2"
	if !trouble {
		readShape = ordinaryShape
	}
	m := d.machines[0]
	first, err := d.open(ctx, m, "first", "lepu270")
	if err != nil {
		return nil, err
	}
	defer first.close()
	second, err := d.open(ctx, m, "second", "lepu270")
	if err != nil {
		return nil, err
	}
	defer second.close()
	check := func(id, shape string) {
		if e, ok := d.record.executionOf(id); ok && e.kind+" "+e.shape != shape {
			broken = append(broken, fmt.Sprintf("PINNED: %s prepared %s, and its name ran %s on %s", id, shape, e.kind+" "+e.shape, e.conn))
		}
	}
	steps := []struct {
		client *client
		text   string
		shape  string
	}{
		{second, "WRITE " + item + " before", ""},
		{first, "PREPARE s1 READ " + readShape, ""},
		{first, "EXECUTE s1 " + item, "READ " + readShape},
		{second, "PREPARE s1 WRITE " + writeShape, ""},
		{second, "EXECUTE s1 " + item + " after", "WRITE " + writeShape},
	}
	acknowledged := false
	for _, s := range steps {
		id, r, err := s.client.request(s.text, true)
		if err != nil {
			return broken, err
		}
		if r.failed != "" {
			return broken, fmt.Errorf("%s: %s", s.text, r.failed)
		}
		if s.shape != "" {
			check(id, s.shape)
		}
		acknowledged = strings.HasPrefix(s.text, "EXECUTE") && s.client == second && r.digest != "-"
	}
	_, r, err := second.request("READ "+item, true)
	if err != nil {
		return broken, err
	}
	if acknowledged && (len(r.rows) != 1 || r.rows[0] != "after") {
		broken = append(broken, fmt.Sprintf("the write of %s was answered with success and not run: a read of the session after it gets %v", item, r.rows))
	}
	return broken, nil
}
