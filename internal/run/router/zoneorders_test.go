package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/router/peer"
)

func TestZoneOrders(t *testing.T) {
	const term = 3
	var o zoneOrders
	accept := func(term uint64, zone string, base peer.ZoneRevision) bronzerill.Kind {
		return bronzerill.KindOf(o.accept(term, zone, base, func() error { return nil }))
	}
	first := o.revision(term, "a")
	other := o.revision(term, "b")
	require.Equal(t, bronzerill.KindNone, accept(term, "a", first))
	require.Equal(t, bronzerill.KindStaleOrder, accept(term, "a", first), "sent twice")
	require.Equal(t, bronzerill.KindNone, accept(term, "b", other), "another zone")
	second := o.revision(term, "a")
	require.Equal(t, bronzerill.KindNone, accept(term, "a", peer.ZoneRevision{}), "from an earlier build")
	require.Equal(t, bronzerill.KindStaleOrder, accept(term, "a", second))

	third, unused := o.revision(term, "a"), o.revision(term, "c")
	require.Equal(t, bronzerill.KindStaleOrder, accept(term+1, "a", third), "another leader was elected meanwhile")
	require.Equal(t, bronzerill.KindStaleOrder, accept(term+1, "c", unused), "neither leader had accepted any")
	require.Equal(t, bronzerill.KindNone, accept(term+1, "a", o.revision(term+1, "a")))
	require.Equal(t, bronzerill.KindStaleOrder, accept(term+1, "a", third))
}
