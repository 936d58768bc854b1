package httpresponse

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// statusLine is the form of the first line of a head, up to the reason. A 0 stands for any digit.
const statusLine = "HTTP/1.0 000 "

// Positions in the first line.
const (
	minorIndex  = len("HTTP/1.")
	statusStart = len("HTTP/1.0 ")
	statusEnd   = len("HTTP/1.0 000")
)

// encodingName is the name of the field that states chunks.
const encodingName = "transfer-encoding"

// nameSymbols are the bytes of names other than letters and digits.
const nameSymbols = "!#$%&'*+-.^_`|~"

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isInterim reports whether a status is that of an interim response. Switching protocols is none: nothing here
// asks for another protocol.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// headPart is a part of a head.
type headPart uint8

const (
	// partNone stands for bytes after the head, which aren't checked.
	partNone headPart = iota
	// partStatus is the first line up to the reason.
	partStatus
	// partText is the reason, or the value of a field.
	partText
	// partLineStart is the start of a line after the first one.
	partLineStart
	partName
)

// HeadChecker checks the bytes of the head of a response, and of the interim responses before it. net/http accepts
// any three bytes that it can read as a number for a status. It ignores a framing field with a blank in its name,
// joins a line that begins with a blank to the one before, ends the head at a single line feed, and ignores chunks in
// HTTP/1.0. Thus it drops lines, or takes something else for the body than the server has sent.
type HeadChecker struct {
	part headPart
	// position is the number of bytes that precede the next one in the first line, or in a name.
	position int
	minor    byte
	status   int
	// lines is the number of whole lines. All end like the first one.
	lines      int
	endsWithCR bool
	afterCR    bool
	// isEncoding is set if the name is encodingName so far.
	isEncoding bool
	err        error
}

// Begin begins the check of a head. Before that, all bytes are valid.
func (c *HeadChecker) Begin() { *c = HeadChecker{part: partStatus} }

// Err returns the error of the bytes checked so far. Nothing more is worth reading then.
func (c *HeadChecker) Err() error { return c.err }

// Check checks the next bytes, and returns how many of them are valid, with an error if not all are. After an
// error, none are.
func (c *HeadChecker) Check(p []byte) (valid int, err error) {
	for i, b := range p {
		if c.part == partNone {
			break
		}
		if c.err == nil {
			c.err = c.checkByte(b)
		}
		if c.err != nil {
			return i, c.err
		}
	}
	return len(p), nil
}

func (c *HeadChecker) checkByte(b byte) error {
	switch {
	case b == '\n':
		return c.endLine()
	case c.afterCR:
		return errors.New("response head has a carriage return inside a line")
	case b == '\r':
		c.afterCR = true
		return nil
	}
	switch c.part {
	case partStatus:
		return c.checkStatusLine(b)
	case partLineStart:
		c.part, c.position, c.isEncoding = partName, 0, true
		return c.checkName(b)
	case partName:
		return c.checkName(b)
	}
	return nil
}

func (c *HeadChecker) endLine() error {
	if c.lines == 0 {
		c.endsWithCR = c.afterCR
	}
	if c.afterCR != c.endsWithCR {
		return errors.New("response head has lines with different ends")
	}
	c.afterCR = false
	c.lines++
	switch {
	case c.part == partStatus && c.position < statusEnd:
		return errors.New("response has no status")
	case c.part == partName:
		return errors.New("response head has a line without a colon")
	case c.part != partLineStart:
		c.part = partLineStart
	case isInterim(c.status):
		c.Begin()
	default:
		c.part = partNone
	}
	return nil
}

func (c *HeadChecker) checkStatusLine(b byte) error {
	want := statusLine[c.position]
	if isDigit := b >= '0' && b <= '9'; want == '0' && !isDigit || want != '0' && b != want {
		return errors.Errorf("response has %q at byte %d of its status line", b, c.position)
	}
	switch {
	case c.position == minorIndex:
		c.minor = b
	case c.position >= statusStart && c.position < statusEnd:
		c.status = 10*c.status + int(b-'0')
	}
	c.position++
	switch c.position {
	case statusEnd:
		if !isInterim(c.status) && !IsFinal(c.status) {
			return errors.Errorf("response has invalid status %03d", c.status)
		}
	case len(statusLine):
		c.part = partText
	}
	return nil
}

func (c *HeadChecker) checkName(b byte) error {
	switch {
	case b == ':' && c.position > 0:
		c.part = partText
		if c.isEncoding && c.position == len(encodingName) && c.minor == '0' {
			return errors.New("response of HTTP/1.0 has a transfer encoding")
		}
		return nil
	case !isNameByte(b):
		return errors.Errorf("response head has %q in the name of a field", b)
	}
	c.isEncoding = c.isEncoding && c.position < len(encodingName) && b|0x20 == encodingName[c.position]
	c.position++
	return nil
}

func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte(nameSymbols, b) >= 0
}
