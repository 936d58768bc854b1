package httpport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/wire/memory"
)

func TestHeadEnds(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]struct {
		sent string
		ends bool
	}{
		"whole":              {head, true},
		"with a body":        {head + "123", true},
		"line feeds":         {"GET / HTTP/1.1\nHost: h\n\n", true},
		"mixed":              {"GET / HTTP/1.1\r\nHost: h\n\r\n", true},
		"a byte short":       {head[:len(head)-1], false},
		"a line short":       {head[:len(head)-2], false},
		"only carriage":      {"GET / HTTP/1.1\r\r\r\r", false},
		"a field of a blank": {"GET / HTTP/1.1\r\n \r\n", false},
		"nothing":            {"", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.sent)+1; size++ {
				var e headEnd
				ends := false
				for rest := []byte(test.sent); len(rest) > 0; rest = rest[min(size, len(rest)):] {
					ends = e.find(rest[:min(size, len(rest))])
				}
				require.Equal(t, test.ends, ends, "in parts of %d bytes", size)
			}
		})
	}
}

// Guards against whole requests that yield to newer ones before they are served (issue 52).
func TestWholeHeadDoesNotYield(t *testing.T) {
	_, c, _ := acceptedConn(t)
	receive := func(text string) { c.countHead([]byte(text)) }
	receive(unfinishedHead)
	phase, _ := c.transfer.Phase()
	require.Equal(t, memory.PhaseHead, phase)
	receive("\r\n")
	require.False(t, c.transfer.Yield())
	c.beginWork(time.Now())
	require.True(t, c.beginHandling(time.Now()))
	c.setIdle(time.Now())
	receive(unfinishedHead)
	require.True(t, c.transfer.Yield(), "the head of the next request isn't whole")
}
