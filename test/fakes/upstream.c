/*
 * Stand-in for an upstream with limited slots.
 *
 * Serves every path but the controls: a request occupies a slot for the service
 * time, calls other services through its node's egress port, and is answered
 * with a text derived from the request. Controls: POST /control,
 * GET /control/stats, GET /control/seen?text=..., GET /control/runs?id=...,
 * GET /health, GET /load.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/lib/lifetime.h"
#include "fakes/lib/upstream.h"

#define DISCONNECT_POLL_US 2000
#define FETCH_WAIT_MS 50
#define MAX_CONNECTIONS_OUT 512
#define MAX_SLOTS 4096

struct program {
	struct fake_upstream upstream;
	pthread_t fetch_thread;
	bool stop;
};

struct arguments {
	struct arg_int *port, *lifetime, *slots, *queue, *service, *jitter;
	struct arg_int *answer, *egress, *timeout, *cold, *factor;
	struct arg_str *calls, *instance;
	struct arg_end *end;
};

static void
on_request(void *ctx, struct fake_request *r)
{
	if (!fake_upstream_control(ctx, r))
		fake_upstream_request(ctx, r);
}

static void
on_disconnect(void *ctx, struct fake_request *r)
{
	fake_upstream_disconnected(ctx, r);
}

static const struct fake_handler handler = {on_request, on_disconnect};

static void
on_poll_timer(void *ctx, uint64_t id)
{
	struct fake_upstream *u = ctx;

	fake_server_check_disconnects(u->server);
	fake_timers_add(
	    u->timers, fake_now_us() + DISCONNECT_POLL_US, on_poll_timer, u, 0);
}

static void *
run_fetcher(void *arg)
{
	struct program *p = arg;

	while (!__atomic_load_n(&p->stop, __ATOMIC_ACQUIRE))
		fake_fetcher_step(p->upstream.fetcher, FETCH_WAIT_MS);
	return NULL;
}

static int
serve(struct program *p, uint16_t port, int lifetime_s)
{
	struct fake_upstream *u = &p->upstream;

	fake_block_signals();
	u->record = fake_record_new(p);
	u->load_override = -1;
	u->started_us = fake_now_us();
	u->timers = fake_timers_start();
	u->fetcher = fake_fetcher_new(MAX_CONNECTIONS_OUT);
	u->server = fake_server_start(port, &handler, u);
	if (u->server == NULL) {
		fprintf(stderr, "upstream: cannot listen on port %u\n", port);
		fake_timers_stop(u->timers);
		fake_fetcher_free(u->fetcher);
		return 1;
	}
	if (pthread_create(&p->fetch_thread, NULL, run_fetcher, p) != 0)
		abort();
	fake_timers_add(
	    u->timers, fake_now_us() + DISCONNECT_POLL_US, on_poll_timer, u, 0);
	fake_wait_for_signal(lifetime_s);
	__atomic_store_n(&p->stop, true, __ATOMIC_RELEASE);
	pthread_join(p->fetch_thread, NULL);
	fake_timers_stop(u->timers);
	fake_server_stop(u->server);
	fake_fetcher_free(u->fetcher);
	return 0;
}

static void
read_options(const struct arguments *a, struct fake_upstream_options *o)
{
	o->slots = (uint32_t)a->slots->ival[0];
	if (o->slots == 0 || o->slots > MAX_SLOTS)
		o->slots = MAX_SLOTS;
	o->queue = (uint32_t)a->queue->ival[0];
	o->service_us = (int64_t)a->service->ival[0] * 1000;
	o->jitter_us = (int64_t)a->jitter->ival[0] * 1000;
	o->answer_bytes = (size_t)a->answer->ival[0];
	o->egress_port = (uint16_t)a->egress->ival[0];
	o->call_timeout_ms = (uint32_t)a->timeout->ival[0];
	o->cold_us = (int64_t)a->cold->ival[0] * 1000000;
	o->cold_factor = (uint32_t)a->factor->ival[0];
	if (a->instance->count > 0)
		o->instance_id = a->instance->sval[0];
	o->call_count = (uint32_t)a->calls->count;
	for (uint32_t i = 0; i < o->call_count; i++)
		o->calls[i] = a->calls->sval[i];
}

static void
set_defaults(const struct arguments *a)
{
	a->port->ival[0] = 0;
	a->lifetime->ival[0] = FAKE_LIFETIME_S;
	a->slots->ival[0] = 36;
	a->queue->ival[0] = 0;
	a->service->ival[0] = 5;
	a->jitter->ival[0] = 0;
	a->answer->ival[0] = 0;
	a->egress->ival[0] = 0;
	a->timeout->ival[0] = 30000;
	a->cold->ival[0] = 0;
	a->factor->ival[0] = 4;
}

static int
run_program(const struct arguments *a)
{
	struct program *p;
	int rc;

	p = talloc_zero(NULL, struct program);
	read_options(a, &p->upstream.options);
	rc = serve(p, (uint16_t)a->port->ival[0], a->lifetime->ival[0]);
	talloc_free(p);
	return rc;
}

int
main(int argc, char **argv)
{
	struct arguments a;
	void *table[] = {
	    a.port = arg_int0(NULL, "port", "N", "port, 0 for any"),
	    a.lifetime =
		arg_int0(NULL, "lifetime", "S", "seconds until it ends itself"),
	    a.slots =
		arg_int0(NULL, "slots", "N", "requests run at the same time"),
	    a.queue =
		arg_int0(NULL, "queue", "N", "requests that wait for a slot"),
	    a.service = arg_int0(NULL, "service-ms", "N", "time in a slot"),
	    a.jitter = arg_int0(
		NULL, "jitter-ms", "N", "most that is added to service-ms"),
	    a.answer = arg_int0(
		NULL, "answer-bytes", "N", "least size of an answer's body"),
	    a.egress = arg_int0(NULL, "egress", "N", "node's egress port"),
	    a.timeout = arg_int0(
		NULL, "call-timeout-ms", "N", "time-out of calls to services"),
	    a.cold = arg_int0(NULL, "cold-s", "S", "seconds of slow start"),
	    a.factor =
		arg_int0(NULL, "cold-factor", "N", "slowdown during cold-s"),
	    a.instance = arg_str0(NULL, "instance", "ID",
		"answers as this instance of the platform"),
	    a.calls = arg_strn(NULL, "calls", "SERVICE/path", 0, FAKE_MAX_CALLS,
		"called for each request"),
	    a.end = arg_end(5),
	};
	int rc = 2;

	set_defaults(&a);
	if (arg_parse(argc, argv, table) == 0) {
		rc = run_program(&a);
	} else {
		arg_print_errors(stderr, a.end, "upstream");
		arg_print_glossary(stderr, table, "  %-24s %s\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
