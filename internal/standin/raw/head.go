package raw

import (
	"regexp"
	"slices"
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
