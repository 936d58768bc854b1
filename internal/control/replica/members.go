package replica

import (
	"slices"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"
)

// Member is one replica of the group.
type Member struct {
	// Name is unique for ever: a replaced replica comes back under a new one.
	Name string `json:"name" msgpack:"n"`
	// Addr is the IP number and port for messages between replicas.
	Addr string `json:"addr" msgpack:"a"`
	// Folder is the identity of the member's data folder, empty until the first
	// leader has heard it. A member that speaks for another folder has lost its
	// disk, and is ignored.
	Folder string `json:"folder" msgpack:"f,omitempty"`
	// Voter is false for a learner.
	Voter bool `json:"voter" msgpack:"v"`
	// Replaces names the member that leaves once this one has caught up.
	Replaces string `json:"replaces,omitempty" msgpack:"r,omitempty"`
	// Spare marks a member that joined after the group was founded. It may
	// stand in for one voter that is lost for good.
	Spare bool `json:"spare,omitempty" msgpack:"s,omitempty"`
}

// Members is an immutable list of replicas. Two successive lists differ by one
// voter at most, so their quorums overlap.
type Members struct {
	List []Member `json:"list" msgpack:"l"`
}

// Get returns the member of that name.
func (m Members) Get(name string) (Member, bool) {
	i := slices.IndexFunc(m.List, func(member Member) bool { return member.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m.List[i], true
}

// Voters returns the number of voters.
func (m Members) Voters() int {
	voters := 0
	for _, member := range m.List {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// Quorum returns the least number of voters that decide: a majority, or all of
// them until every folder is known. So no replica that lost its disk can stand
// in for one that was never heard.
func (m Members) Quorum() int {
	if !m.FoldersKnown() {
		return m.Voters()
	}
	return m.Voters()/2 + 1
}

// FoldersKnown reports whether the folder of every voter is known.
func (m Members) FoldersKnown() bool {
	for _, member := range m.List {
		if member.Voter && member.Folder == "" {
			return false
		}
	}
	return true
}

// IsVoter reports whether the name is a voter.
func (m Members) IsVoter(name string) bool {
	member, ok := m.Get(name)
	return ok && member.Voter
}

// With returns the list with the member added or rewritten.
func (m Members) With(member Member) Members {
	next := m.Without(member.Name)
	next.List = append(next.List, member)
	return next
}

// Without returns the list without the member of that name.
func (m Members) Without(name string) Members {
	next := Members{List: make([]Member, 0, len(m.List)+1)}
	for _, member := range m.List {
		if member.Name != name {
			next.List = append(next.List, member)
		}
	}
	return next
}

func encodeMembers(m Members) ([]byte, error) { return msgpack.Marshal(m) }

func decodeMembers(data []byte) (Members, error) {
	var m Members
	err := msgpack.Unmarshal(data, &m)
	return m, err
}

// NewName returns a name for a replica that joins; no replica had it before.
func NewName(base string) string {
	return base + "-" + uuid.NewString()[:8]
}
