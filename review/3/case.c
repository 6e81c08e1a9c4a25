/*
 * The store cuts the waiting watches shortly before, and once more after, the
 * entry of an instance is removed. Do requests still reach that instance later
 * than drain_ms after the removal was acknowledged?
 */
#include <stdio.h>
#include <string.h>

#include "standin.h"

#define DRAIN_MS 2000
#define KEY "6wsjnbanfqasnmgkcuyj"
#define CUTS 2

/* Times of the cuts, from the removal. */
static const int cut_ms[CUTS] = {-100, 1400};

static const char config[] =
    "{\"version\":\"00000007\",\"routes\":{\"r-browse\":{"
    "\"host\":\"hulo84.example\",\"path_prefix\":\"/leny950/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":1500,\"priority\":2,\"service\":\"catalogo\","
    "\"max_attempts\":2,\"public\":false}},"
    "\"services\":{\"catalogo\":{\"health_check_path\":\"/health\","
    "\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false},"
    "\"tapfinder\":{\"health_check_path\":\"/health\","
    "\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":{\"pulo780\":{\"api_keys\":[\"" KEY "\"],\"priority\":1,"
    "\"rate_per_s\":400,\"burst\":400}}}";

static struct deployment d;
static int64_t acked_ms;
static int late, last_ms;

static void
on_run(struct instance *i, const char *path, const char *id)
{
	int64_t after = now_ms() - acked_ms;

	if (acked_ms == 0 || after <= DRAIN_MS)
		return;
	late++;
	last_ms = (int)after;
}

static void
remove_entry(void)
{
	instance_unregister(&d.instance[1]);
	acked_ms = now_ms();
	record("store: the entry of %s is removed, acknowledged",
	    d.instance[1].id);
}

int
main(int argc, char **argv)
{
	static const struct place places[] = {{"tapfinder", "sierra-cuenca"},
	    {"catalogo", "sierra-cuenca"}, {"catalogo", "sierra-quito"}};
	int64_t removal;
	int cuts = 0;

	setup(argv[1]);
	deployment_init(&d, places, 3, config);
	d.store.closes = true;
	d.instance[1].on_run = on_run;
	d.instance[1].work_ms = d.instance[2].work_ms = 20;
	deployment_start(&d);
	removal = now_ms() + 2000;
	while (now_ms() < removal + 8000) {
		struct call c = {.method = "GET", .host = "hulo84.example",
		    .path = "/leny950/2f", .key = KEY, .deadline_ms = 6000};

		if (trouble && cuts < CUTS &&
		    now_ms() >= removal + cut_ms[cuts]) {
			record("store: cuts %d waiting watches",
			    d.store.waiting);
			store_cut_watches(&d.store);
			cuts++;
		}
		if (acked_ms == 0 && now_ms() >= removal)
			remove_entry();
		call_run(&d.node[0], &c);
		record("client: %s: status %d", c.id, c.status);
	}
	record("%d requests reached instance %s later than %d ms after the "
	       "ack, the last one %d ms after it",
	    late, d.instance[1].id, DRAIN_MS, last_ms);
	return finish(late == 0 ? EXIT_HELD : EXIT_BROKEN);
}
