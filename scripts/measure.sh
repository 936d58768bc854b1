#!/usr/bin/env bash
# Measures the path through entry and agent on separate processes, then what needs
# no fleet. A benchmark, without a verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap end_all EXIT

KEY=api-key-of-hotel-serra
E1=http://$(entry_addr 1)
trial() { "$BIN/bronzerill-trial" "$@"; }

# counter OPERATOR-ADDRESS NAME prints one metric of a process.
counter() { "$BIN/bronzerill-trial" counter --operator "$1" --secret-file "$DIR/operator.secret" --name "$2"; }

prepare
start_controls
start_entry 1 gramado
ENGINE_FLAGS="--slots 512 --cold-slots 512 --first-token 5ms --cached-token 5ms --token-interval 5ms"
start_engine 1 gramado bronze-guides
start_booking 6 gramado stable-desk
start_booking 7 canela stable-desk
{
	echo "number = 1"
	zones gramado canela
	pool bronze-guides engine 512 512 512 1 "echoes-request-id = true"
	pool stable-desk service 512 512 512 1
	customer hotel-serra "$KEY" 1
	policy guide bronze-guides 1 2000
	policy desk stable-desk 1 2000
} >"$DIR/ticket-1.toml"
operate ticket submit $(OPERATORS) "$DIR/ticket-1.toml" >/dev/null
for n in $(seq 1 100); do
	trial chat --entry "$E1" --key "$KEY" --model guide --chat warm >/dev/null 2>&1 && break
	sleep 0.2
done

echo "PATH TO THE ENGINE: 20 tokens, 5 ms to the first and between, in turns"
trial latency --entry "$E1" --engine "http://$(backend_addr 1)" --key "$KEY" --model guide

echo
echo "ALLOCATIONS AND MEMORY for 100 responses of 20 tokens, then over one of 20,000 tokens"
for role in entry:11 agent:21; do
	port=$(operator_addr "${role##*:}")
	before=$(counter "$port" memstats.Mallocs)
	trial latency --entry "$E1" --engine "http://$(backend_addr 1)" --key "$KEY" --model guide --rounds 100 --duration 0s >/dev/null
	after=$(counter "$port" memstats.Mallocs)
	echo "${role%%:*}: $(((after - before) / 100)) allocations per response"
done
for role in entry:11 agent:21; do
	port=$(operator_addr "${role##*:}")
	before=$(counter "$port" memstats.HeapInuse)
	echo "${role%%:*}: heap in use $((before / 1024)) KB"
done
trial chat --entry "$E1" --key "$KEY" --model guide --chat long --tokens 20000 >/dev/null 2>&1 &
LONG=$!
for n in 1 2 3; do
	sleep 5
	for role in entry:11 agent:21; do
		echo "${role%%:*}: heap in use $(($(counter "$(operator_addr "${role##*:}")" memstats.HeapInuse) / 1024)) KB, $((n * 5)) s into the long response"
	done
done
kill "$LONG" 2>/dev/null || true

echo
echo "BOOKINGS through entry, agent and three control replicas on this disk, each sent twice"
for callers in 1 64; do
	echo "$callers callers, 5 s:"
	trial bookings --entry "$E1" --key "$KEY" --policy desk --prefix "m$callers" --callers "$callers" --pause 0s --duration 5s \
		--server "http://$(backend_addr 6)" --server "http://$(backend_addr 7)"
done
end_all

echo
"$BIN/bronzerill-measure"
