// Package bronzerill defines the types that all roles of the router fleet share:
// error kinds, configured entities, change tickets and reports.
package bronzerill

// Versioned is embedded by every configured entity.
type Versioned struct {
	// Revision is the configuration revision that last wrote the entity. It
	// never decreases. It is zero only in a ticket that is not accepted yet.
	Revision uint64 `json:"revision,omitempty" toml:"-" msgpack:"r"`
}

// Rev returns the revision that last wrote the entity.
func (v Versioned) Rev() uint64 { return v.Revision }

// Holder is a process that holds the configuration under a lease.
type Holder struct {
	// Name is unique among live processes.
	Name string
	// Generation is different for each start of a process of this name.
	Generation uint64
}
