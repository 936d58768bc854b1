package state

import (
	"time"

	"bronzerill"
)

// maxPromises bounds the number of promises.
const maxPromises = 10_000

// Promise is capacity of a pool that has been promised until a given time. A
// command with 0 slots withdraws the promise of that ID.
type Promise struct {
	ID    string    `json:"id" msgpack:"i"`
	Pool  string    `json:"pool" msgpack:"p"`
	Slots int       `json:"slots" msgpack:"s"`
	Until time.Time `json:"until" msgpack:"u"`
}

// fault returns what is wrong with the promise, or the empty string.
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
