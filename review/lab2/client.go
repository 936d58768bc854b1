package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a channel of a client, which is kept for many requests.
type channel struct {
	record *record
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(rec *record, name, addr string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{record: rec, name: name, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// host is the host of all routes.
const host = "ficu95.example"

// request returns the text of an idempotent request without a body.
func request(target, id string, timeout time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Bronzerill-Request-Id: %s\r\nX-Bronzerill-Deadline-Ms: %d\r\n\r\n", target, host, id, timeout.Milliseconds())
}

// answer is what a client gets for a request.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, stamp %q, %d bytes", a.status, a.stamp, len(a.body))
}

// ask sends the text of a request and reads the answer.
func (c *channel) ask(id, text string, limit time.Duration) answer {
	first, _, _ := strings.Cut(text, "\r\n")
	c.record.add("client", "%s sends %s: %q", c.name, id, first)
	a := c.exchange(text, limit)
	c.record.add("client", "%s gets for %s: %s", c.name, id, a)
	return a
}

func (c *channel) exchange(text string, limit time.Duration) answer {
	if err := c.conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("X-Bronzerill-Response-Stamp"), string(body), err}
}
