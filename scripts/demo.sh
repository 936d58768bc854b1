#!/usr/bin/env bash
# Runs a small fleet of separate processes through its main job. Exits 0 only if
# every step succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap end_all EXIT

say() { echo "== $*"; }
trial() { "$BIN/bronzerill-trial" "$@"; }

KEY=api-key-of-hotel-serra
E1=http://$(entry_addr 1)
E2=http://$(entry_addr 2)

say "three control replicas, two entries, two model pools and a booking pool in two zones"
prepare
start_controls
start_entry 1 gramado
start_entry 2 canela
start_engine 1 gramado bronze-guides
start_engine 2 canela bronze-guides
start_engine 3 gramado bronze-guides
start_engine 4 canela stable-talk
start_engine 5 gramado stable-talk
start_booking 6 gramado stable-desk
start_booking 7 canela stable-desk

say "ticket 1 creates zones, pools, a customer and routing policies"
{
	echo "number = 1"
	zones gramado canela
	pool bronze-guides engine 16 8 4 2 "echoes-request-id = true"
	pool stable-talk engine 16 8 4 2 "echoes-request-id = true"
	pool stable-desk service 32 16 16 1 'repeatable-paths = ["/availability"]'
	customer hotel-serra "$KEY" 1
	policy guide bronze-guides 3 2000
	policy stable stable-talk 3 2000
	policy desk stable-desk 3 2000
} >"$DIR/ticket-1.toml"
operate ticket submit $(OPERATORS) "$DIR/ticket-1.toml" || fail "ticket 1"
operate ticket submit $(OPERATORS) "$DIR/ticket-1.toml" || fail "ticket 1 sent again must have its first outcome"
sed 's/weight = 1/weight = 2/' "$DIR/ticket-1.toml" >"$DIR/rival.toml"
if operate ticket submit $(OPERATORS) "$DIR/rival.toml"; then fail "a rival ticket under the same number was accepted"; fi
for n in 1 2; do ready "$(operator_addr $((10 + n)))" || fail "entry $n"; done

say "a chat, and its warm return through the other entry"
for n in $(seq 1 100); do
	trial chat --entry "$E1" --key "$KEY" --model guide --chat family-7 >"$DIR/chat.out" 2>&1 && break
	[ "$n" = 100 ] && { cat "$DIR/chat.out"; fail "first chat"; }
	sleep 0.2
done
cat "$DIR/chat.out"
trial chat --entry "$E2" --key "$KEY" --model guide --chat family-7 --text "and tomorrow?" --expect-warm || fail "warm return"
trial chat --entry "$E2" --key "$KEY" --model stable --chat coachman-2 || fail "the other pool"

say "a booking, sent again through the other entry"
for n in $(seq 1 50); do
	trial book --entry "$E1" --key "$KEY" --policy desk --booking-key landau-1 >"$DIR/book.out" 2>&1 && break
	[ "$n" = 50 ] && { cat "$DIR/book.out"; fail "booking"; }
	sleep 0.2
done
cat "$DIR/book.out"
trial book --entry "$E2" --key "$KEY" --policy desk --booking-key landau-1 --expect-replay || fail "resent booking"
trial executions --key landau-1 --want 1 --server "http://$(backend_addr 6)" --server "http://$(backend_addr 7)" || fail "executions"

say "zone canela leaves and returns with chats in flight"
trial load --entry "$E1" --entry "$E2" --key "$KEY" --model guide --duration 12s --callers 8 --strict >"$DIR/load.out" 2>&1 &
LOAD=$!
sleep 1
operate zone out $(OPERATORS) canela || fail "zone out"
sleep 3
operate zone in $(OPERATORS) canela || fail "zone in"
wait "$LOAD" || { cat "$DIR/load.out"; fail "requests while the zone left and returned"; }
cat "$DIR/load.out"

say "the service report"
operate promise $(OPERATORS) --id tour-9 --pool bronze-guides --slots 6 || fail "promise"
sleep 2
operate report $(OPERATORS) || fail "report"

say "a graceful stop of everything"
for n in 1 2; do stop_gracefully "entry-$n"; done
for n in 1 2 3 4 5 6 7; do stop_gracefully "agent-$n"; done
for n in 1 2 3 4 5; do stop_gracefully "engine-$n"; done
for n in 6 7; do stop_gracefully "booking-$n"; done
for n in 1 2 3; do stop_gracefully "control-$n"; done
say "done"
