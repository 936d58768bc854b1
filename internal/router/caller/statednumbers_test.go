package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/placement"
)

// sendRaw writes the bytes of a response as they are and closes the connection.
func sendRaw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}
}

// Guards against numbers in a response that end the router's process, or that close the caller's
// connection without an answer (review/6).
func TestImpossibleNumbersOfAServerAreAnswered(t *testing.T) {
	const fields = "Id: r1\r\nSignature: s\r\n"
	largest := "9223372036854775807"
	tests := map[string]string{
		"largest length":           "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + largest + "\r\n\r\nspoiled",
		"largest length but one":   "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 9223372036854775806\r\n\r\nspoiled",
		"length beyond 63 bits":    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 18446744073709551615\r\n\r\nspoiled",
		"negative length":          "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: -1\r\n\r\nspoiled",
		"two lengths":              "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 7\r\nContent-Length: " + largest + "\r\n\r\nspoiled",
		"length of an error":       "HTTP/1.1 500 Error\r\n" + fields + "Content-Length: " + largest + "\r\n\r\nspoiled",
		"length of a refusal":      "HTTP/1.1 503 Full\r\n" + fields + "Content-Length: " + largest + "\r\n\r\nspoiled",
		"largest chunk":            "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nspoiled",
		"chunk beyond 64 bits":     "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nspoiled",
		"negative chunk":           "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n-1\r\nspoiled",
		"length in another answer": "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: " + largest + "\r\n\r\nspoiled",
	}
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "-20", "+20"} {
		tests["status "+status] = "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 7\r\n\r\nspoiled"
	}
	for name, response := range tests {
		for _, path := range []string{"/once/x", "/repeatable/x"} {
			t.Run(name+path, func(t *testing.T) {
				status, _, err := newTestRouter(t, sendRaw(response), sendRaw(response)).call(path)
				require.NoError(t, err, "the caller gets an answer")
				require.Equal(t, http.StatusBadGateway, status)
			})
		}
		for _, path := range []string{"/stream/x", "/resumable/x"} {
			t.Run(name+path, func(t *testing.T) {
				status, _, err := newTestRouter(t, sendRaw(response), sendRaw(response)).call(path)
				require.False(t, status == http.StatusOK && err == nil, "looks complete")
				require.NotEqual(t, 0, status, "the caller gets an answer: %v", err)
			})
		}
	}
}

// Guards against idle times of a server that overflow, so that a closed connection counts as usable,
// or that end the process (review/6).
func TestImpossibleIdleTimesOfAServer(t *testing.T) {
	for _, timeout := range []string{"9223372036854775807", "-9223372036854775808", "-9223372037", "18446744073709551616", "0", "", "x"} {
		body := "Id: r1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"
		router := newTestRouter(t, sendRaw("HTTP/1.1 200 OK\r\nKeep-Alive: timeout="+timeout+"\r\n"+body))
		for range 2 {
			status, text, err := router.call("/repeatable/x")
			require.NoError(t, err, timeout)
			require.Equal(t, http.StatusOK, status, timeout)
			require.Equal(t, "ok", text)
		}
	}
}

// Guards against numbers of the list that end the router's process (review/6). An adapter may let
// any value through.
func TestImpossibleNumbersOfTheListAreServed(t *testing.T) {
	for _, number := range []int{0, -1, 1<<63 - 1, -1 << 63} {
		for _, path := range []string{"/repeatable/x", "/resumable/x"} {
			router := newTestRouter(t, respond(http.StatusOK, eventText(1, 2)))
			odd := router.servers[0]
			odd.Slots, odd.Born, odd.Cold = number, int64(number), time.Duration(number)
			now := time.Now()
			router.table.SetList(now, now, []placement.Server{odd})
			status, _, err := router.call(path)
			require.NoError(t, err, "%s with %d", path, number)
			require.NotEqual(t, 0, status)
		}
	}
}

// Guards against numbers of a caller that end the router's process (review/6).
func TestImpossibleNumbersOfACallerAreAnswered(t *testing.T) {
	for _, value := range []string{"9223372036854775807", "-9223372036854775808", "0", "-1", strings.Repeat("9", 400), "x"} {
		router := newTestRouter(t, respond(http.StatusOK, "ok"))
		r := router.request(t.Context(), "/repeatable/x")
		for _, name := range []string{"Timeout", "Prompt", "Resume", "Keep-Alive"} {
			r.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err, value)
		require.NoError(t, response.Body.Close())
		require.NotEqual(t, "0", strconv.Itoa(response.StatusCode))
	}
}
