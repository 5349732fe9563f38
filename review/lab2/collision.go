package main

import (
	"context"
	"fmt"
)

// The shapes of a pair differ, but the system gives both the same name on its connections, a hash
// without a key. The second shape of each pair was found in a second. Without trouble the shape
// of the first client has another last letter.
const (
	readLikeWrite, ordinaryRead  = "s4modfcyl9cylcloam2", "s4modfcyl9cylcloam3"
	writeLikeRead, ordinaryWrite = "4oi5xv9q0vcbakhzbger", "4oi5xv9q0vcbakhzbges"
	knownShape                   = "q2c"
	overwrittenItem, clearedItem = "1a4", "2b5"
)

// preparedCollision plays case 7. The first client prepares a read, the second one a write; then
// the first client prepares a write, and a third one, on a route of the kind read_your_writes, a
// read.
func preparedCollision(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	readShape, writeShape := ordinaryRead, ordinaryWrite
	if trouble {
		readShape, writeShape = readLikeWrite, writeLikeRead
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
	third, err := d.open(ctx, m, "third", "fiti832")
	if err != nil {
		return nil, err
	}
	defer third.close()
	steps := []struct {
		client *client
		text   string
		// shape is the shape that the client has prepared, for an EXECUTE.
		shape string
		// value, if not empty, is the only row of the answer.
		value string
	}{
		{client: second, text: "WRITE " + overwrittenItem + " before"},
		{client: first, text: "PREPARE s1 READ " + readShape},
		{client: first, text: "EXECUTE s1 " + overwrittenItem, shape: "READ " + readShape},
		{client: second, text: "PREPARE s1 WRITE " + knownShape},
		{client: second, text: "EXECUTE s1 " + overwrittenItem + " after", shape: "WRITE " + knownShape},
		{client: second, text: "READ " + overwrittenItem, value: "after"},

		{client: second, text: "WRITE " + clearedItem + " kept"},
		{client: first, text: "PREPARE s2 WRITE " + writeShape},
		{client: first, text: "EXECUTE s2 3c6 x", shape: "WRITE " + writeShape},
		{client: third, text: "PREPARE s2 READ " + knownShape},
		{client: third, text: "EXECUTE s2 " + clearedItem, shape: "READ " + knownShape},
		{client: second, text: "READ " + clearedItem, value: "kept"},
	}
	for _, s := range steps {
		id, r, err := s.client.request(s.text, true)
		if err != nil {
			return broken, err
		}
		if e, ok := d.record.executionOf(id); ok && e.kind+" "+e.shape != s.shape {
			broken = append(broken, fmt.Sprintf("PINNED: %s prepared %s, and its name ran %s on %s", id, s.shape, e.kind+" "+e.shape, e.conn))
		}
		if r.failed != "" {
			d.record.note("%s is answered with %s", id, r.failed)
		}
		if s.value != "" && r.failed == "" && (len(r.rows) != 1 || r.rows[0] != s.value) {
			broken = append(broken, fmt.Sprintf("the %s of %s gets %q and not %s", s.text, s.client.name, r.rows, s.value))
		}
	}
	return broken, nil
}
