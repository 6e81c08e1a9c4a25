#!/bin/sh
# Demonstration: runs eight hosts of three services, in two regions of two zones
# each, on this machine. Sends real requests and prints their outcomes.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
DIR=$BUILD/demo
. demo/fleet.sh

step() {
	printf '\n== %s\n' "$*"
}

build() {
	pkg-config --exists talloc tevent libmicrohttpd libcurl argtable2 \
	    libtirpc json-c ck libxxhash libsodium 2>/dev/null &&
	    test -f /usr/include/http_parser.h &&
	    command -v curl >/dev/null ||
	    make install-packages >"$DIR/install.log" 2>&1 ||
	    die "packages cannot be installed, see $DIR/install.log"
	make -j4 BUILD="$BUILD" "$BUILD/ibisraild" "$BUILD/ibisrailctl" \
	    "$BUILD/test/platform" "$BUILD/test/upstream" \
	    "$BUILD/test/load" >"$DIR/build.log" 2>&1 ||
	    die "the build failed, see $DIR/build.log"
}

# new_key NAME: sets KEY and DIGEST.
new_key() {
	key_text=$("$BUILD/ibisrailctl" key new) || die "no key"
	KEY=$(echo "$key_text" | sed -n 's/^key //p')
	DIGEST=$(echo "$key_text" | sed -n 's/^digest //p')
}

# account NAME RATE BURST WEIGHT DIGESTS: prints an account.
account() {
	printf '{"name":"%s","rate_per_s":%s,"burst":%s,"weight":%s,' \
	    "$1" "$2" "$3" "$4"
	printf '"key_digests":[%s]}' "$5"
}

# publish_accounts GENERATION DIGESTS-OF-VISITORS
publish_accounts() {
	publish config/accounts "{\"generation\": $1, \"accounts\": [
	    $(account shops 400 200 4 "\"$SHOPS_DIGEST\""),
	    $(account households 200 100 2 "\"$HOUSEHOLDS_DIGEST\""),
	    $(account visitors 20 10 1 "$2")]}"
}

start_fleet() {
	start_stand_in platform "$BUILD/test/platform"
	PLATFORM=127.0.0.1:$PORT
	"$BUILD/ibisrailctl" collect conf -o "$DIR/sections" \
	    >"$DIR/collect.out" || die "the examples in conf/ are bad"
	for s in fleet service/search service/stock service/catalogue; do
		publish_file "config/$s" "$DIR/sections/$s.json"
	done
	new_key && SHOPS_KEY=$KEY SHOPS_DIGEST=$DIGEST
	new_key && HOUSEHOLDS_KEY=$KEY HOUSEHOLDS_DIGEST=$DIGEST
	new_key && VISITORS_KEY=$KEY VISITORS_DIGEST=$DIGEST
	publish_accounts 1 "\"$VISITORS_DIGEST\""
	for z in north-1 north-2 south-1 south-2; do
		start_host "search-$z" search "${z%-*}" "$z" \
		    --slots 36 --service-ms 4 --calls stock/shops/1
	done
	for z in north-1 south-1; do
		start_host "stock-$z" stock "${z%-*}" "$z" \
		    --slots 36 --service-ms 3 --calls catalogue/items/7
		start_host "catalogue-$z" catalogue "${z%-*}" "$z" \
		    --slots 36 --service-ms 5
	done
	wait_for 150 all_ready || die "not every node is ready"
	set -- $CALLERS
	ENTRY=$1
	wait_for 100 ask_ok || die "no request is served: $(ask_line GET \
	    /search/cartridges -H "Ibisrail-Key: $SHOPS_KEY")"
}

ask_ok() {
	curl -sf -m 2 -o /dev/null -H "Ibisrail-Key: $SHOPS_KEY" \
	    "http://$ENTRY/search/cartridges"
}

# ask_line METHOD PATH CURL-ARGUMENTS...: sends a request and prints its status,
# outcome and error.
ask_line() {
	ask_method=$1 ask_path=$2
	shift 2
	curl -s -m 5 -o /dev/null -D - -X "$ask_method" "$@" \
	    "http://$ENTRY$ask_path" | tr -d '\r' | awk '
	    NR == 1 { status = $2 }
	    tolower($1) == "ibisrail-outcome:" { outcome = $2 }
	    tolower($1) == "ibisrail-error:" { error = $2 }
	    END { print status, outcome, error }'
}

show() {
	printf '  %-34s %s\n' "$1" "$2"
}

show_answers() {
	step "single requests: status, outcome, error"
	show "search with a key" "$(ask_line GET /search/cartridges?tap=ibis \
	    -H "Ibisrail-Key: $SHOPS_KEY")"
	show "reservation with a key" "$(ask_line POST /search/reservations \
	    -H "Ibisrail-Key: $SHOPS_KEY" -H 'Idempotency-Key: demo-1' \
	    -H 'Ibisrail-First-Attempt: 1' -d one)"
	show "the same, repeated" "$(ask_line POST /search/reservations \
	    -H "Ibisrail-Key: $SHOPS_KEY" -H 'Idempotency-Key: demo-1' \
	    -d one)"
	show "open route without a key" "$(ask_line GET /catalogue/brands)"
	show "search without a key" "$(ask_line GET /search/cartridges)"
	show "search with a wrong key" "$(ask_line GET /search/cartridges \
	    -H 'Ibisrail-Key: wrong')"
	show "unknown service" "$(ask_line GET /nosuch/x \
	    -H "Ibisrail-Key: $SHOPS_KEY")"
}

# number FILE NAME: prints the first number of that name, which is of the whole
# run.
number() {
	grep -o "\"$2\":[0-9]*" "$1" | head -1 | sed 's/.*://'
}

refusals() {
	sed -n 's/.*"reasons":{\(.*\)},"keys".*/\1/p' "$1" | tr -d '{}"' |
	    sed 's/:/ /g; s/,/, /g'
}

# latency SEED LOAD-ARGUMENTS...: sets LATENCY to p50, p99, ok and sent.
latency() {
	latency_seed=$1
	shift
	"$BUILD/test/load" "$@" --seed "$latency_seed" --path "$LATENCY_PATH" --rate 200 \
	    --duration-ms 3000 >"$DIR/latency.json" || die "load failed"
	LATENCY="$(number "$DIR/latency.json" p50) \
$(number "$DIR/latency.json" p99) $(number "$DIR/latency.json" ok) \
$(number "$DIR/latency.json" sent)"
}

show_latency() {
	step "latency at 200/s over 3 s, microseconds: p50 p99 (whole of sent)"
	LATENCY_PATH=/items/7
	latency 1 --direct "$UPSTREAM_catalogue_north_1"
	set -- $LATENCY
	direct50=$1 direct99=$2
	show "straight to one upstream" "$1 $2 ($3 of $4)"
	LATENCY_PATH=/catalogue/items/7
	latency 2 "$ENTRY" --key "shops=$SHOPS_KEY"
	set -- $LATENCY
	show "through ibisrail, two nodes" "$1 $2 ($3 of $4)"
	show "added" "$(($1 - direct50)) $(($2 - direct99))"
}

# account_load NAME KEY RATE DURATION-MS: runs load in the background.
account_load() {
	"$BUILD/test/load" $CALLERS --path /search/cartridges \
	    --key "$1=$2" --rate "$3" --duration-ms "$4" --seed "$3" \
	    >"$DIR/account-$1.json" &
	LOADS="$LOADS $!"
	PIDS="$PIDS $!"
}

wait_loads() {
	for pid in $LOADS; do
		wait "$pid"
		PIDS=$(echo " $PIDS " | sed "s/ $pid / /")
	done
	LOADS=
}

show_run() {
	show "$1" "served $(number "$2" ok) of $(number "$2" sent)$(
	    refusals "$2" | sed 's/^./; &/')"
}

show_accounts() {
	step "accounts over 4 s: shops 150/s of 400, households 100/s of 200,"
	echo "   visitors 101/s of 20 a second and a burst of 10; one second of it"
	LOADS=
	account_load shops "$SHOPS_KEY" 150 4000
	account_load households "$HOUSEHOLDS_KEY" 100 4000
	account_load visitors "$VISITORS_KEY" 101 4000
	sleep 1
	"$BUILD/ibisrailctl" top --once $ADMINS
	wait_loads
	for a in shops households visitors; do
		show_run "$a" "$DIR/account-$a.json"
	done
}

slow_stock() {
	for z in north_1 south_1; do
		eval "address=\$UPSTREAM_stock_$z"
		curl -sSf -o /dev/null -d "{\"service_ms\": $1}" \
		    "http://$address/control"
	done
}

show_overload() {
	step "stock slows from 3 to 400 ms for 4 s; searches 300/s," \
	    "reservations 40/s"
	slow_stock 400
	"$BUILD/test/load" $CALLERS --path /search/cartridges --seed 7 \
	    --key "shops=$SHOPS_KEY" --rate 300 --duration-ms 4000 \
	    >"$DIR/searches.json" &
	LOADS=$!
	PIDS="$PIDS $LOADS"
	"$BUILD/test/load" $CALLERS --path /search/reservations --seed 8 \
	    --method POST --key "households=$HOUSEHOLDS_KEY" --rate 40 \
	    --duration-ms 4000 >"$DIR/reservations.json"
	wait_loads
	slow_stock 3
	show_run searches "$DIR/searches.json"
	show_run reservations "$DIR/reservations.json"
}

visitors_refused() {
	[ "$(ask_line GET /search/cartridges \
	    -H "Ibisrail-Key: $VISITORS_KEY")" = "401 not-run key-unknown" ]
}

show_withdrawal() {
	step "the key of visitors is withdrawn"
	publish_accounts 2 ""
	if wait_for 100 visitors_refused; then
		show "refused at $ENTRY after" "less than \
$(((101 - wait_left) * 100 + 100)) ms"
	else
		show "refused at $ENTRY after" "NOT WITHIN 10 s"
	fi
}

show_safety() {
	step "what the upstreams saw"
	double_runs=0 seen=no mixed_answers=0
	for host in "$DIR"/*-upstream.out; do
		address=127.0.0.1:$(sed -n 's/^port //p' "$host")
		curl -s "http://$address/control/stats" >"$DIR/stats.json"
		double_runs=$((double_runs + $(number "$DIR/stats.json" double_runs)))
		mixed_answers=$((mixed_answers + $(number "$DIR/stats.json" mixed_answers)))
		for key in "$SHOPS_KEY" "$HOUSEHOLDS_KEY" "$VISITORS_KEY"; do
			curl -s "http://$address/control/seen?text=$key" |
			    grep -q '"seen":true' && seen=YES
		done
	done
	show "a caller's key" "$seen"
	show "requests run twice by one upstream" "$double_runs"
	show "answers to another question" "$mixed_answers"
}

rm -rf "$DIR"
mkdir -p "$DIR" || exit 1
trap stop_fleet EXIT
trap 'exit 130' INT TERM
step "build"
build
step "start: 8 hosts in 4 zones, 3 services, one configuration service"
start_fleet
show_answers
show_latency
show_accounts
show_overload
show_withdrawal
show_safety
step "graceful shutdown"
stop_nodes
