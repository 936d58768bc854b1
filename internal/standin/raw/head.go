package raw

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// validStatus matches the statuses of responses, but for switching protocols.
var validStatus = regexp.MustCompile(`^(1(0[02-9]|[1-9][0-9])|[2-5][0-9]{2})$`)

// InvalidStatuses returns bytes that stand in the place of a status and are none, among them all that differ in one
// byte from one.
func InvalidStatuses() []string {
	statuses := []string{"000", "001", "099", "101", "600", "999", "+20", "-20", "-00", "0", "20", "2000", "0200", " 200", "2e2", "0x2", "", "\x00\x00\x00", "٢٠٠"}
	for _, status := range []string{"200", "100"} {
		for i := range status {
			for b := range 256 {
				text := []byte(status)
				text[i] = byte(b)
				statuses = append(statuses, string(text))
			}
		}
	}
	return slices.DeleteFunc(statuses, validStatus.MatchString)
}

// validName matches the start of a line with the name of a field.
var validName = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:")

// UnreadableFields returns lines that differ from a field in one byte of its name, or have one more there or before
// the colon, so that they name no field. Some are two lines.
func UnreadableFields(field string) []string {
	var lines []string
	for i := range strings.IndexByte(field, ':') + 1 {
		for b := range 256 {
			lines = append(lines, field[:i]+string([]byte{byte(b)})+field[i:])
			if field[i] != ':' {
				lines = append(lines, field[:i]+string([]byte{byte(b)})+field[i+1:])
			}
		}
	}
	return slices.DeleteFunc(lines, validName.MatchString)
}

// BrokenResponses returns responses with a body whose heads are broken, one of each kind. Each final head begins with
// the given fields, whole lines that are sound.
func BrokenResponses(fields, body string) []string {
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	var all []string
	for _, status := range []string{"000", "099", "101", "600", "+20"} {
		all = append(all, "HTTP/1.1 "+status+" X\r\n"+fields+framed)
	}
	for _, line := range []string{"A B: c", "A : b", "A\t: b", " A: b", "\x00A: b", "A\x7f: b", "\u00e4: b", ": b", "\nA: b", "A\rB: c", "A"} {
		all = append(all, "HTTP/1.1 200 OK\r\n"+fields+line+"\r\n"+framed,
			"HTTP/1.1 103 Early\r\nA: b\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+fields+framed)
	}
	for _, line := range []string{"Content-Length : ", "Content Length: ", "\tContent-Length: ", "Content-Length\v: "} {
		all = append(all, "HTTP/1.1 200 OK\r\n"+fields+line+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
	return append(all, "HTTP/1.0 200 OK\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n"+body)
}
