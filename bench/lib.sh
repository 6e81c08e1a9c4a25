# Functions to measure fleets of processes. Sourced by bench/fleet.sh.
#
# A benchmark starts a fleet with a policy, sends load and leaves the reports of
# the load generator under $DIR. The policy "plain" is the baseline: a
# pass-through proxy with a FIFO queue, three retries per hop and a static
# share of each account's rate at each host.

. demo/fleet.sh

# json FILE EXPRESSION: prints the value of a jq expression.
json() {
	jq -r "$2" "$1"
}

# publish_service NAME SLOTS ROUTES
publish_service() {
	publish "config/service/$1" "{\"generation\": 1, \"name\": \"$1\",
	    \"slots\": $2, \"routes\": [$3]}"
}

# route_json METHOD PATH IMPORTANCE DEADLINE-MS IDEMPOTENT: prints a route.
route_json() {
	printf '{"method":"%s","path":"%s","importance":%s,' "$1" "$2" "$3"
	printf '"deadline_ms":%s,"idempotent":%s,"open":false,"retries":2}' \
	    "$4" "$5"
}

# publish_accounts RATE BURST: client accounts a1 to a8; sets KEY_1 to KEY_8.
publish_accounts() {
	accounts_list=
	for i in 1 2 3 4 5 6 7 8; do
		accounts_key=$("$BUILD/ibisrailctl" key new) || die "no key"
		eval "KEY_$i=$(echo "$accounts_key" | sed -n 's/^key //p')"
		accounts_list="$accounts_list${accounts_list:+,}
		    {\"name\":\"a$i\",\"rate_per_s\":$1,\"burst\":$2,
		    \"weight\":1,\"key_digests\":[\"$(echo "$accounts_key" |
		    sed -n 's/^digest //p')\"]}"
	done
	publish config/accounts "{\"generation\":1,\"accounts\":[$accounts_list]}"
}

# key_arguments FROM TO: prints arguments of the load generator for the keys of
# these accounts.
key_arguments() {
	for i in $(seq "$1" "$2"); do
		eval "printf -- '--key a$i=%s ' \"\$KEY_$i\""
	done
}

# start_load NAME ARGUMENTS...: runs the load generator in the background; its
# report goes to $DIR/NAME.json.
start_load() {
	load_name=$1
	shift
	"$BUILD/test/load" "$@" --seed "$SEED" >"$DIR/$load_name.json" &
	LOADS="$LOADS $!"
	PIDS="$PIDS $!"
	SEED=$((SEED + 1))
}

wait_loads() {
	for pid in $LOADS; do
		wait "$pid"
		PIDS=$(echo " $PIDS " | sed "s/ $pid / /")
	done
	LOADS=
}

# control_upstreams NAME JSON: sets up the upstream of every host of a service.
control_upstreams() {
	for u in $(eval echo "\$UPSTREAMS_$1"); do
		curl -sSf -o /dev/null -d "$2" "http://$u/control"
	done
}

# count_runs NAME: prints the number of requests run by a service's upstreams.
count_runs() {
	runs_sum=0
	for u in $(eval echo "\$UPSTREAMS_$1"); do
		runs_one=$(curl -sSf "http://$u/control/stats" | jq .runs)
		runs_sum=$((runs_sum + runs_one))
	done
	echo "$runs_sum"
}

# start_hosts SERVICE COUNT SLOTS CONNECTIONS UPSTREAM-ARGUMENTS...
start_hosts() {
	hosts_service=$1 hosts_count=$2 SLOTS=$3 CONNECTIONS=$4
	shift 4
	for i in $(seq 1 "$hosts_count"); do
		zone=$(((i - 1) % 4 + 1))
		region=$(((zone + 1) / 2))
		start_host "$hosts_service-$i" "$hosts_service" "r$region" \
		    "z$zone" --slots "$SLOTS" --queue 4000 "$@"
		eval "UPSTREAMS_$hosts_service=\"\${UPSTREAMS_$hosts_service:-} \
		    127.0.0.1:$PORT\""
	done
}

# start_fleet POLICY: starts the platform and publishes the fleet's section.
start_fleet() {
	POLICY=$1
	CALLERS= ADMINS= PIDS= NODE_PIDS= LOADS=
	for s in ${SERVICES:-}; do
		eval "UPSTREAMS_$s="
	done
	start_stand_in platform "$BUILD/test/platform"
	PLATFORM=127.0.0.1:$PORT
	publish config/fleet '{"generation":1,"store_region":"r1",
	    "link_bytes_per_s":3750000,"unconfirmed_view":"refuse"}'
}

# Waits until all nodes are ready and token buckets issue: a new issuer first
# waits until the grants of a former one have expired.
wait_until_ready() {
	wait_for 300 all_ready || die "not every node is ready"
	sleep 7
}

# print_line NAME BASELINE OURS RATIO TARGET MET
print_line() {
	printf '%-38s %12s %12s %8s %14s %s\n' "$@"
}

# print_comparison NAME BASELINE OURS TARGET CONDITION: the condition is a jq
# expression of $o, our value.
print_comparison() {
	compare_ratio=$(jq -n --argjson b "$2" --argjson o "$3" \
	    'if $b == 0 then "-" else ($o / $b * 100 | round / 100) end' |
	    tr -d '"')
	compare_met=$(jq -n --argjson b "$2" --argjson o "$3" \
	    "if $5 then \"met\" else \"MISSED\" end" | tr -d '"')
	print_line "$1" "$2" "$3" "$compare_ratio" "$4" "$compare_met"
}
