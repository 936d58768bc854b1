package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bronzerill/internal/entry/caller"
)

// streamSlots is how many streams the engine of a crowd's fleet generates at once.
const streamSlots = 256

// chatHead and chatTail enclose the text of a chat request.
const (
	chatHead = `{"model": "desk", "stream": true, "messages": [{"role": "user", "content": "`
	chatTail = `"}]}`
)

// streamMark stands in requests that get a long stream.
const streamMark = "long"

// streamingEngine returns an engine whose streams to a crowd are long.
func streamingEngine() backend {
	event := "data: {\"id\": \"c\", \"text\": \"" + strings.Repeat("x", 1000) + "\"}\n\n"
	return backend{
		kind: "engine", slots: streamSlots, status: http.StatusOK,
		serve: func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = fmt.Fprintf(w, `{"generation": "1", "slots": %d}`, streamSlots)
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			if bytes.Contains(body, []byte(streamMark)) {
				for sent := 0; err == nil && sent < 64<<20; sent += len(event) {
					_, err = io.WriteString(w, event)
				}
			}
			_, _ = io.WriteString(w, event+"data: [DONE]\n\n") // the agent sees whether it is whole
		},
		newRequest: func(entryURL string, body io.Reader) (*http.Request, error) {
			text, err := io.ReadAll(body)
			if err != nil {
				return nil, err
			}
			// The body has the size of the given one.
			size := max(0, len(text)-len(chatHead)-len(chatTail))
			return http.NewRequest(http.MethodPost, entryURL+caller.PathChat, strings.NewReader(chatHead+strings.Repeat("x", size)+chatTail))
		},
	}
}

// unreadStream asks for a long stream, and reads no more than its start.
func unreadStream(conn net.Conn, _ int, _ string) error {
	body := chatHead + streamMark + chatTail
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", caller.PathChat, apiKey, len(body), body)
	if err != nil {
		return err
	}
	return leaveUnread(conn)
}

// Guards against streams, many at once, that clients of entries don't read (issue 52).
func TestAgentEnduresUnreadStreams(t *testing.T) {
	entry, agent, _ := startFleet(t, fleetConfig{backend: streamingEngine(), entryLog: t.Output()})
	agent.addr = entry.addr
	agent.requireEndures(crowdDescriptors+100, unreadStream)
}

// Guards against streams, many at once, that their clients don't read (issue 52).
func TestEntryEnduresUnreadStreams(t *testing.T) {
	entry, _, _ := startFleet(t, fleetConfig{backend: streamingEngine(), entryLog: t.Output()})
	entry.requireEndures(crowdDescriptors+100, unreadStream)
}
