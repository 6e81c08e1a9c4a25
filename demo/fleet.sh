# Functions to start and stop a small fleet on 127.0.0.1. Sourced by demo/run.sh
# and bench/lib.sh.
#
# Expects BUILD and DIR (for temporary files). stop_fleet ends each program that
# was started by its process id; callers run it on exit, also after an error.

PIDS=
NODE_PIDS=
CALLERS=
ADMINS=
LIFETIME_S=${LIFETIME_S:-180}

die() {
	echo "demo: $*" >&2
	exit 1
}

# start NAME PROGRAM ARGUMENTS...: starts it in the background and sets PID.
start() {
	start_name=$1
	shift
	"$@" >"$DIR/$start_name.out" 2>"$DIR/$start_name.err" &
	PID=$!
	PIDS="$PIDS $PID"
	echo "$PID" >"$DIR/$start_name.pid"
}

# wait_for TENTHS COMMAND...: repeats the command until it succeeds, at most for
# that many tenths of a second.
wait_for() {
	wait_left=$1
	shift
	until "$@" >/dev/null 2>&1; do
		wait_left=$((wait_left - 1))
		[ "$wait_left" -gt 0 ] || return 1
		sleep 0.1
	done
}

# start_stand_in NAME PROGRAM ARGUMENTS...: starts it and sets PORT.
start_stand_in() {
	stand_in_out=$DIR/$1.out
	rm -f "$stand_in_out"
	start "$@" --lifetime "$LIFETIME_S"
	wait_for 50 grep -q '^port ' "$stand_in_out" || die "$1 does not start"
	PORT=$(sed -n 's/^port //p' "$stand_in_out")
}

# log_field NAME FIELD: prints a field of the node's event "started".
log_field() {
	sed -n 's/.*"name":"started".*"'"$2"'":\([0-9]*\).*/\1/p' \
	    "$DIR/$1.out" | head -1
}

publish() {
	curl -sSf -o /dev/null -X PUT --data-binary "$2" \
	    "http://$PLATFORM/control/$1"
}

publish_file() {
	curl -sSf -o /dev/null -X PUT --data-binary "@$2" \
	    "http://$PLATFORM/control/$1"
}

settings() {
	cat <<-END
	{"host": "$1", "service": "$2", "region": "$3", "zone": "$4",
	 "callers": {"address": "127.0.0.1", "port": 0},
	 "egress": {"address": "127.0.0.1", "port": 0},
	 "peers": {"address": "127.0.0.1", "port": 0},
	 "admin": {"address": "127.0.0.1", "port": 0},
	 "upstream": {"address": "127.0.0.1", "port": $5},
	 "platform": {"address": "127.0.0.1", "port": ${PLATFORM#*:}},
	 "slots": ${SLOTS:-36}, "upstream_connections": ${CONNECTIONS:-300},
	 "policy": "${POLICY:-full}"}
	END
}

publish_host() {
	publish "hosts/$1" "{\"name\": \"$1\", \"service\": \"$2\",
	    \"region\": \"$3\", \"zone\": \"$4\", \"address\": \"127.0.0.1\",
	    \"peer_port\": $(log_field "$1" peers_port),
	    \"caller_port\": $(log_field "$1" callers_port),
	    \"state\": \"${5:-live}\"}"
}

# start_host NAME SERVICE REGION ZONE UPSTREAM-ARGUMENTS...
start_host() {
	host=$1 service=$2 region=$3 zone=$4
	shift 4
	start_stand_in "$host-upstream" "$BUILD/test/upstream" "$@"
	eval "UPSTREAM_$(echo "$host" | tr - _)=127.0.0.1:$PORT"
	settings "$host" "$service" "$region" "$zone" "$PORT" \
	    >"$DIR/$host.json"
	start "$host" "$BUILD/ibisraild" -c "$DIR/$host.json"
	NODE_PIDS="$NODE_PIDS $PID"
	wait_for 50 grep -q '"name":"started"' "$DIR/$host.out" ||
	    die "$host does not start: $(tail -1 "$DIR/$host.out")"
	curl -sSf -o /dev/null -d "{\"egress\": $(log_field "$host" egress_port)}" \
	    "http://127.0.0.1:$PORT/control"
	publish_host "$host" "$service" "$region" "$zone"
	CALLERS="$CALLERS 127.0.0.1:$(log_field "$host" callers_port)"
	ADMINS="$ADMINS 127.0.0.1:$(log_field "$host" admin_port)"
}

all_ready() {
	for admin in $ADMINS; do
		curl -sf -m 1 -o /dev/null "http://$admin/ready" || return 1
	done
}

# stop_nodes: shuts the nodes down gracefully and prints how many succeeded.
stop_nodes() {
	graceful=0 total=0
	for pid in $NODE_PIDS; do
		kill -TERM "$pid" 2>/dev/null
	done
	for pid in $NODE_PIDS; do
		total=$((total + 1))
		wait "$pid" && graceful=$((graceful + 1))
		PIDS=$(echo " $PIDS " | sed "s/ $pid / /")
	done
	NODE_PIDS=
	echo "$graceful of $total nodes ended gracefully"
}

stop_fleet() {
	for pid in $PIDS; do
		kill -TERM "$pid" 2>/dev/null
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null
	done
	PIDS=
}
