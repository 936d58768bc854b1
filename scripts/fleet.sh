# Functions that start and stop a small fleet of separate processes on loopback.
# To be sourced. All files are under $DIR, and only its own processes are ended.

BIN=${BIN:-bin}
DIR=${DIR:-trial/demo}
BASE=${BASE:-17000}
declare -A PIDS

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# start NAME COMMAND... runs a process with its log under $DIR.
start() {
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	PIDS[$name]=$!
}

# stop_gracefully NAME sends SIGTERM and fails unless the process exits with 0.
stop_gracefully() {
	local name=$1 pid=${PIDS[$1]}
	unset "PIDS[$name]"
	kill -TERM "$pid" || fail "$name had ended before it was stopped, see $DIR/$name.log"
	wait "$pid" || fail "$name did not stop gracefully, see $DIR/$name.log"
}

# kill_hard NAME sends SIGKILL.
kill_hard() {
	local name=$1 pid=${PIDS[$1]}
	unset "PIDS[$name]"
	kill -KILL "$pid"
	wait "$pid" 2>/dev/null || true
}

# end_all kills the processes that still run.
end_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
	PIDS=()
}

control_addr() { echo "127.0.0.1:$((BASE + $1))"; }
operator_addr() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
entry_addr() { echo "127.0.0.1:$((BASE + 200 + $1))"; }
agent_addr() { echo "127.0.0.1:$((BASE + 300 + $1))"; }
backend_addr() { echo "127.0.0.1:$((BASE + 400 + $1))"; }

prepare() {
	rm -rf "$DIR"
	mkdir -p "$DIR"
	echo "fleet-secret-of-this-trial" >"$DIR/fleet.secret"
	echo "operator-secret-of-this-trial" >"$DIR/operator.secret"
	echo '{"instances": []}' >"$DIR/instances.json"
	REPLICAS="\"$(control_addr 1)\", \"$(control_addr 2)\", \"$(control_addr 3)\""
}

operator_section() {
	cat <<END
[operator]
listen = "$(operator_addr "$1")"
secret-file = "$DIR/operator.secret"
END
}

# control_settings N ZONE
control_settings() {
	cat >"$DIR/control-$1.toml" <<END
name = "control-$1"
zone = "$2"
secret-file = "$DIR/fleet.secret"
[control]
listen = "$(control_addr "$1")"
data-folder = "$DIR/control-$1"
instance-list = "$DIR/instances.json"
$(operator_section "$1")
END
}

# entry_settings N ZONE
entry_settings() {
	cat >"$DIR/entry-$1.toml" <<END
name = "entry-$1"
zone = "$2"
secret-file = "$DIR/fleet.secret"
control-replicas = [$REPLICAS]
[entry]
listen = "$(entry_addr "$1")"
balancer-delay = "500ms"
$(operator_section $((10 + $1)))
END
}

# agent_settings N ZONE POOL KIND
agent_settings() {
	cat >"$DIR/agent-$1.toml" <<END
name = "agent-$1"
zone = "$2"
secret-file = "$DIR/fleet.secret"
control-replicas = [$REPLICAS]
[agent]
listen = "$(agent_addr "$1")"
server = "server-$1"
pool = "$3"
kind = "$4"
backend = "http://$(backend_addr "$1")"
$(operator_section $((20 + $1)))
END
}

run_role() { start "$1" "$BIN/bronzerill" run --settings "$DIR/$1.toml"; }

start_controls() {
	local n list=()
	for n in 1 2 3; do list+=(--replica "control-$n=$(control_addr "$n")"); done
	for n in 1 2 3; do
		control_settings "$n" "$([ "$n" = 1 ] && echo gramado || echo canela)"
		"$BIN/bronzerill" init --settings "$DIR/control-$n.toml" "${list[@]}" >/dev/null || fail "init of control-$n"
		run_role "control-$n"
	done
}

# start_engine N ZONE POOL
start_engine() {
	start "engine-$1" "$BIN/bronzerill-standin" engine --listen "$(backend_addr "$1")" ${ENGINE_FLAGS:-}
	agent_settings "$1" "$2" "$3" engine
	run_role "agent-$1"
}

# start_booking N ZONE POOL
start_booking() {
	start "booking-$1" "$BIN/bronzerill-standin" booking --listen "$(backend_addr "$1")"
	agent_settings "$1" "$2" "$3" service
	run_role "agent-$1"
}

# start_entry N ZONE
start_entry() {
	entry_settings "$1" "$2"
	run_role "entry-$1"
}

OPERATORS() { echo --operator "$(operator_addr 1)" --operator "$(operator_addr 2)" --operator "$(operator_addr 3)" --secret-file "$DIR/operator.secret"; }
operate() { "$BIN/bronzerill" "$@"; }
ready() { "$BIN/bronzerill-trial" wait --url "http://$1/ready"; }

# The parts of a ticket.
# zones NAME...
zones() { local name; for name in "$@"; do printf '[[zone]]\nname = "%s"\n' "$name"; done; }

# pool NAME KIND SLOTS FLOOR COLD RAMP-STEP [MORE-LINES]
pool() {
	cat <<END
[[pool]]
name = "$1"
kind = "$2"
load-multiple = 1.5
slots = $3
floor-slots = $4
cold-slots = $5
ramp-step = $6
${7:-}
END
}

# customer NAME API-KEY WEIGHT
customer() {
	printf '[[customer]]\nname = "%s"\nkey-hash = "%s"\nweight = %s\n' "$1" "$("$BIN/bronzerill-trial" key-hash "$2")" "$3"
}

# policy NAME POOL HOPS QUEUE-TIMEOUT-MS
policy() {
	printf '[[policy]]\nname = "%s"\npool = "%s"\nspill-hops = %s\nqueue-timeout-ms = %s\n' "$1" "$2" "$3" "$4"
}
