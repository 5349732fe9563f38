package main

import (
	"errors"
	"strings"
	"time"
)

var errNoService = errors.New("a plain write was not served")

// linefeed sends writes whose data has two lines. A message ends with CR LF, and its
// last field extends to the end of the line, so the line feed is part of the data. The
// system may refuse such a statement. A database that runs it must get its whole text,
// and nothing that no client sent.
func linefeed(l *lab) (broken bool, err error) {
	p, err := newPlatform()
	if err != nil {
		return false, err
	}
	s, err := newService(l, p, "huvo11a", "i-1", "i-2", "i-3")
	if err != nil {
		return false, err
	}
	p.put("config", "main", config())
	h, err := l.startHost("edge-gent-a-1", "gent-a", p)
	if err != nil {
		return false, err
	}
	if err := awaitService(l, h); err != nil {
		return false, err
	}
	separator := " "
	if l.trouble {
		separator = "\n"
	}
	sent := map[string]string{"a0": "WRITE 1a4 plain"}
	send := func(id, text string) error {
		sent[id] = text
		c, err := l.connect(h, "lepu270")
		if err != nil {
			return err
		}
		defer c.close()
		// A refusal, also by a close, is allowed.
		_, _ = c.query(id, text)
		return nil
	}
	// An announcement of two lines.
	if err := send("a1", "WRITE 1a5 Asr 16:05"+separator+"Maghrib 18:40"); err != nil {
		return false, err
	}
	// Text that quotes a message.
	if err := send("a2", "WRITE 1a6 note"+separator+"QUERY a9 WRITE 1a7 other"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for _, r := range s.allRuns() {
		text, ok := sent[r.id]
		switch {
		case strings.HasPrefix(r.id, "w"):
		case !ok:
			l.logf("UNASKED: a database ran %q under the id %s, which no client sent", r.text, r.id)
			broken = true
		case text != r.text:
			l.logf("UNASKED: a database ran %q, the client had sent %q", r.text, text)
			broken = true
		}
	}
	return broken, nil
}

// awaitService sends plain writes until one is served, and then the write a0.
func awaitService(l *lab, h *entryHost) error {
	for range 20 {
		c, err := l.connect(h, "lepu270")
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		answer, err := c.query("w0", "WRITE w warm")
		if err == nil && strings.HasPrefix(answer[0], "COMPLETE 7.") {
			_, err = c.query("a0", "WRITE 1a4 plain")
			c.close()
			return err
		}
		c.close()
		time.Sleep(500 * time.Millisecond)
	}
	return errNoService
}
