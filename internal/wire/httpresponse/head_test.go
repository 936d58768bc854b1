package httpresponse

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

// checkAll checks a response that arrives in parts of a size.
func checkAll(response string, size int) error {
	var c HeadChecker
	c.Begin()
	for len(response) > 0 {
		n := min(size, len(response))
		if _, err := c.Check([]byte(response[:n])); err != nil {
			return err
		}
		response = response[n:]
	}
	return nil
}

func requireValid(t *testing.T, response string) {
	for _, size := range []int{1, 2, 7, len(response)} {
		require.NoError(t, checkAll(response, size), "%q in parts of %d", response, size)
	}
}

func requireInvalid(t *testing.T, response string) {
	for _, size := range []int{1, 2, 7, len(response)} {
		require.Error(t, checkAll(response, size), "%q in parts of %d", response, size)
	}
}

const anyBytes = "\x00\xff : \r\n\r\nHTTP/1.1 000\r\n"

func TestValidHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.0 599\r\n\r\n",
		"HTTP/1.1 404 \r\nA:\r\nb~!#$%&'*+-.^_`|9: \t\xff \r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 201 Created\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n",
	} {
		requireValid(t, head)
		requireValid(t, head+anyBytes)
	}
}

// Guards against bytes that are no status, such as 000, and that net/http reads as a number (issue 49).
func TestInvalidStatuses(t *testing.T) {
	for _, status := range raw.InvalidStatuses() {
		for _, head := range []string{"HTTP/1.1 " + status + " X\r\n\r\n", "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 " + status + " X\r\n\r\n"} {
			requireInvalid(t, head)
		}
	}
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "HTTP/1.1", "200 OK", "", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK"} {
		requireInvalid(t, line+"\r\n\r\n")
	}
}

func TestNothingIsValidAfterAnInvalidByte(t *testing.T) {
	var c HeadChecker
	valid, err := c.Check([]byte(anyBytes))
	require.NoError(t, err, "before the head")
	require.Equal(t, len(anyBytes), valid)
	c.Begin()
	valid, err = c.Check([]byte("HTTP/1.1 000 OK\r\n"))
	require.Error(t, err)
	require.Equal(t, len("HTTP/1.1 00"), valid)
	valid, err = c.Check([]byte("OK"))
	require.Error(t, err)
	require.Zero(t, valid)
	c.Begin()
	_, err = c.Check([]byte("HTTP/1.1 200 OK\r\n\r\n" + anyBytes))
	require.NoError(t, err)
}

// fields are fields of a response, among them those that state where its body ends.
var fields = []string{"Content-Length: 4", "Transfer-Encoding: chunked", "Connection: close", "X-Id: 1", "A:"}

// Guards against names of fields that hold a byte that isn't allowed there, of which net/http lets some pass
// (issue 49).
func TestUnreadableFields(t *testing.T) {
	for _, field := range fields {
		for _, line := range raw.UnreadableFields(field) {
			for _, before := range []string{"", "A: b\r\n"} {
				requireInvalid(t, "HTTP/1.1 200 OK\r\n"+before+line+"\r\n\r\n")
			}
			requireInvalid(t, "HTTP/1.1 103 Early\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
		}
	}
	for _, line := range []string{"A", " ", "\t", " A: b", "A: b\r", "A: b\rC: d", "\r", "A : b", ": b"} {
		requireInvalid(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n")
		requireInvalid(t, "HTTP/1.1 200 OK\r\nX: y\r\n"+line+"\r\n\r\n")
	}
}

// Guards against a body that includes its chunk sizes.
func TestChunksNeedHTTP11(t *testing.T) {
	for _, name := range []string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"} {
		requireInvalid(t, "HTTP/1.0 200 OK\r\n"+name+": chunked\r\n\r\n")
		requireValid(t, "HTTP/1.1 200 OK\r\n"+name+": chunked\r\n\r\n")
	}
	for _, name := range []string{"Transfer-Encodin", "Transfer-Encodings", "Transfer_Encoding", "X-Transfer-Encoding"} {
		requireValid(t, "HTTP/1.0 200 OK\r\n"+name+": chunked\r\n\r\n")
	}
}
