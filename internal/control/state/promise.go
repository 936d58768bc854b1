package state

import (
	"time"

	"bronzerill"
)

// maxPromises bounds the promise table.
const maxPromises = 10_000

// Promise is capacity that the office has promised. Slots 0 withdraws it.
type Promise struct {
	ID    string    `json:"id" msgpack:"i"`
	Pool  string    `json:"pool" msgpack:"p"`
	Slots int       `json:"slots" msgpack:"s"`
	Until time.Time `json:"until" msgpack:"u"`
}

func (p Promise) fault(c *bronzerill.Config) string {
	if p.ID == "" || len(p.ID) > 128 {
		return "id: want 1 to 128 bytes"
	}
	if _, ok := c.Pool(p.Pool); !ok {
		return "pool: not found"
	}
	if p.Slots < 0 {
		return "slots: want at least 0"
	}
	return ""
}
