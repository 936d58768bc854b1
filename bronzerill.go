// Package bronzerill holds the vocabulary that every role of the router fleet
// shares: error kinds, configured entities, change tickets and reports.
package bronzerill

// Versioned is embedded by every configured entity.
type Versioned struct {
	// Revision is the configuration revision that last wrote the entity. It
	// never falls and is zero only in a ticket that was not yet accepted.
	Revision uint64 `json:"revision,omitempty" toml:"-" msgpack:"r"`
}

// Rev returns the revision that last wrote the entity.
func (v Versioned) Rev() uint64 { return v.Revision }

// Holder is a process that holds configuration by lease.
type Holder struct {
	// Name is unique among live processes.
	Name string
	// Generation differs at every start of a process of this name.
	Generation uint64
}
