package peer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/declared"
)

// document returns the given number of routes of a declared state, in the form in which
// operators send them.
func document(routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		_, _ = fmt.Fprintf(&b, `{"name":"r-%d","host":"ficu%d.example","path_prefix":"/lohu%d/","kind":"streaming","timeout_ms":5000,"target_latency_ms":500,"priority":1,"service":"huvo11a","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":400},`, i*7919, i, i*104729)
	}
	return b.Bytes()
}

// TestPackedStatesAreSmall covers a simultaneous start of all routers of a large
// deployment: 28 routers fetch a document of 350 routes from five others over slow links.
func TestPackedStatesAreSmall(t *testing.T) {
	state := declared.State{Revision: 9, Number: 5, Source: document(350), ZonesOut: []string{"canela"}}
	var p Packer
	packed, err := p.Pack(state)
	require.NoError(t, err)
	require.Less(t, len(packed.Packed), len(state.Source)/6)
	got, err := packed.Unpack()
	require.NoError(t, err)
	require.Equal(t, state, got)

	again, err := p.Pack(state)
	require.NoError(t, err)
	require.Same(t, &packed.Packed[0], &again.Packed[0], "the state is compressed only once")
	state.Revision, state.ZonesOut = 10, nil
	next, err := p.Pack(state)
	require.NoError(t, err)
	require.EqualValues(t, 10, next.Revision)
	require.Empty(t, next.ZonesOut)
	require.Same(t, &packed.Packed[0], &next.Packed[0], "an unchanged document is not compressed again")
}

func TestPackEmptyState(t *testing.T) {
	packed, err := new(Packer).Pack(declared.State{Revision: 3})
	require.NoError(t, err)
	got, err := packed.Unpack()
	require.NoError(t, err)
	require.EqualValues(t, 3, got.Revision)
	require.Empty(t, got.Source)
}

func TestUnpackRejectsBrokenState(t *testing.T) {
	packed, err := new(Packer).Pack(declared.State{Revision: 9, Number: 5, Source: document(20)})
	require.NoError(t, err)
	tests := map[string]func(*PackedState){
		"truncated":      func(s *PackedState) { s.Packed = s.Packed[:len(s.Packed)/2] },
		"empty":          func(s *PackedState) { s.Packed = nil },
		"too large":      func(s *PackedState) { s.Size = maxDocument + 1 },
		"negative size":  func(s *PackedState) { s.Size = -1 },
		"not compressed": func(s *PackedState) { s.Packed = []byte("{}") },
		"wrong size":     func(s *PackedState) { s.Size++ },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			broken := packed
			change(&broken)
			_, err := broken.Unpack()
			require.Error(t, err)
		})
	}
}
