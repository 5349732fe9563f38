package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 5 * time.Second

// client is a session of a client.
type client struct {
	lab    *lab
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a session on a database.
func (l *lab) connect(h *entryHost, database string) (*client, error) {
	conn, err := net.Dial("tcp", h.front)
	if err != nil {
		return nil, err
	}
	c := &client{lab: l, conn: conn, reader: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "CONNECT %s u3f1\r\n", database); err != nil {
		return nil, err
	}
	answer, err := c.receive()
	if err == nil && !strings.HasPrefix(answer[0], "READY") {
		err = fmt.Errorf("answer to CONNECT: %q", answer)
	}
	return c, err
}

// query sends one statement and returns the messages of its answer.
func (c *client) query(id, text string) ([]string, error) {
	c.lab.logf("client sends        %s %q", id, brief(text))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return nil, err
	}
	answer, err := c.receive()
	c.lab.logf("client is answered  %s %q %v", id, brief(strings.Join(answer, " / ")), errorText(err))
	return answer, err
}

// receive reads messages up to READY.
func (c *client) receive() (messages []string, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	for {
		m, err := readMessage(c.reader)
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
		if strings.HasPrefix(m, "READY") {
			return messages, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// briefLength is the length to which long texts are cut in the record.
const briefLength = 60

// brief cuts a long text for the record.
func brief(text string) string {
	if len(text) <= briefLength {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:briefLength], len(text))
}
