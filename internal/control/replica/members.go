package replica

import (
	"slices"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"
)

// Member is one replica of the group.
type Member struct {
	// Name is never reused: a replaced replica returns under a new name.
	Name string `json:"name" msgpack:"n"`
	// Addr is the IP address and port for messages between replicas.
	Addr string `json:"addr" msgpack:"a"`
	// Folder is the ID of the member's data folder. It is empty until the first
	// leader has received a message from the member. A member that reports
	// another folder has lost its disk, and its messages are ignored.
	Folder string `json:"folder" msgpack:"f,omitempty"`
	// Voter is false for a learner.
	Voter bool `json:"voter" msgpack:"v"`
	// Replaces names the member that is removed once this one has caught up.
	Replaces string `json:"replaces,omitempty" msgpack:"r,omitempty"`
	// Spare marks a member that joined after bootstrap. It may replace one voter
	// that is permanently lost.
	Spare bool `json:"spare,omitempty" msgpack:"s,omitempty"`
}

// Members is an immutable member list. Two successive lists differ by at most
// one voter, so their quorums overlap.
type Members struct {
	List []Member `json:"list" msgpack:"l"`
}

// Get returns the member with the given name.
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

// Quorum returns the number of voters needed for a decision. It is a majority if
// every voter's folder is known, and otherwise all voters: until then, a replica
// that lost its disk could pass for a voter that hasn't sent a message yet.
func (m Members) Quorum() int {
	if !m.FoldersKnown() {
		return m.Voters()
	}
	return m.Voters()/2 + 1
}

// FoldersKnown reports whether the data folder of every voter is known.
func (m Members) FoldersKnown() bool {
	for _, member := range m.List {
		if member.Voter && member.Folder == "" {
			return false
		}
	}
	return true
}

// names returns the names of the voters, or of the learners.
func (m Members) names(voters bool) []string {
	var names []string
	for _, member := range m.List {
		if member.Voter == voters {
			names = append(names, member.Name)
		}
	}
	return names
}

// IsVoter reports whether the member with the given name is a voter.
func (m Members) IsVoter(name string) bool {
	member, ok := m.Get(name)
	return ok && member.Voter
}

// With returns a copy of the list in which the member is added or replaced.
func (m Members) With(member Member) Members {
	next := m.Without(member.Name)
	next.List = append(next.List, member)
	return next
}

// Without returns a copy of the list without the member of the given name.
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

// NewName returns a name for a replica that joins: base with a random suffix,
// so that no replica had the name before.
func NewName(base string) string {
	return base + "-" + uuid.NewString()[:8]
}
