/* Simulates the fleet around one node. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "bench_node.h"
#include "core/unconst.h"
#include "link/codec.h"

#define TICK_INTERVAL_US (10 * IR_US_PER_MS)
#define RTT_US INT64_C(500)
#define CONFIRM_INTERVAL_US (200 * IR_US_PER_MS)
#define ANSWER_BYTES 1024
#define CLOCK_COST_READS 1000

static char answer_body[ANSWER_BYTES];
static int64_t clock_cost_ns;

int64_t
thread_cpu_ns(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

double
allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)m.uordblks + (double)m.hblkhd;
}

static int64_t
begin_timing(void)
{
	return thread_cpu_ns();
}

static void
end_timing(struct bench_node *b, int64_t since)
{
	b->cpu_ns += thread_cpu_ns() - since - clock_cost_ns;
}

/* Measures what reading the clock takes, to subtract it. */
static void
measure_clock_cost(void)
{
	int64_t t = thread_cpu_ns();

	for (int i = 0; i < CLOCK_COST_READS; i++)
		(void)thread_cpu_ns();
	clock_cost_ns = (thread_cpu_ns() - t) / CLOCK_COST_READS;
}

static void
count_message(struct bench_node *b, enum ir_msg_kind kind, size_t size_bytes)
{
	b->messages[kind]++;
	b->bytes[kind] += size_bytes;
}

void
bench_node_clear_counts(struct bench_node *b)
{
	memset(b->messages, 0, sizeof(b->messages));
	memset(b->bytes, 0, sizeof(b->bytes));
	b->cpu_ns = 0;
}

/* Actions of the node: messages are counted and queued, the rest is noted. */

static bool
on_connect(void *ctx, uint32_t conn, const char *address, uint16_t port)
{
	struct bench_node *b = ctx;
	uint32_t at = conn / 2;

	if (at >= b->name_count) {
		b->names = talloc_realloc(b, b->names, char *, at + 64);
		b->name_count = at + 64;
	}
	b->names[at] = NULL;
	b->pending_conns = talloc_realloc(
	    b, b->pending_conns, uint32_t, b->pending_conn_count + 1);
	b->pending_conns[b->pending_conn_count++] = conn;
	return true;
}

static void
on_close(void *ctx, uint32_t conn)
{
}

static bool
on_send(void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	struct bench_node *b = ctx;
	struct sent_message *s = talloc_zero(b, struct sent_message);

	s->conn = conn;
	s->xid = xid;
	s->kind = m->kind;
	s->size_bytes = ir_codec_encode(s, xid, m, &s->data);
	count_message(b, m->kind, s->size_bytes);
	LL_PREPEND(b->outbox, s);
	return true;
}

static void
on_run(void *ctx, const struct ir_run *r)
{
	struct bench_node *b = ctx;

	b->last_run = r->id;
	b->runs++;
}

static void
on_cancel_run(void *ctx, uint64_t id)
{
}

static void
on_answer(void *ctx, uint64_t call, const struct ir_answer *a)
{
	struct bench_node *b = ctx;

	b->answers += a->error == IR_OK;
}

static void
on_log(void *ctx, enum ir_event event, const char *fields)
{
}

static const struct ir_node_ops ops = {on_connect, on_close, on_send, on_run,
    on_cancel_run, on_answer, on_log, NULL};

static void
deliver_store_read(struct bench_node *b, bool hosts, bool complete,
    struct ir_section *s, size_t n)
{
	uint64_t revision = hosts ? b->list_revision : b->config_revision;
	struct ir_store_read r = {.request_sent_us = b->now_us,
	    .is_host_list = hosts,
	    .complete = complete,
	    .revision = revision,
	    .sections = s,
	    .section_count = n};
	int64_t t = begin_timing();

	ir_node_store_read(b->node, b->now_us, &r);
	end_timing(b, t);
}

void
bench_node_confirm_view(struct bench_node *b)
{
	deliver_store_read(b, false, false, NULL, 0);
	deliver_store_read(b, true, false, NULL, 0);
}

static struct ir_section
make_section(
    const struct bench_node *b, const char *name, const char *text, bool host)
{
	struct ir_section s = {.name = ir_unconst(name),
	    .revision = host ? b->list_revision : b->config_revision,
	    .text = ir_unconst(text)};

	return s;
}

static void
boot_config(struct bench_node *b, TALLOC_CTX *mem)
{
	size_t n = 0;
	struct ir_section *s =
	    talloc_array(mem, struct ir_section, b->shape.services + 3);

	s[n++] = make_section(b, talloc_strdup(mem, "fleet"),
	    talloc_strdup(mem, "{\"generation\":1,\"store_region\":\"r0\","
			       "\"link_bytes_per_s\":1000000000,"
			       "\"unconfirmed_view\":\"refuse\"}"),
	    false);
	s[n++] = make_section(b, talloc_strdup(mem, "accounts"),
	    bench_node_accounts_text(mem, b), false);
	for (uint32_t i = 0; i <= b->shape.services; i++) {
		char *name = talloc_asprintf(mem, "service-%03u", i);

		if (i == b->shape.services)
			name = talloc_strdup(mem, "wide");
		s[n++] =
		    make_section(b, talloc_asprintf(mem, "service/%s", name),
			bench_node_service_text(mem, b, name), false);
	}
	deliver_store_read(b, false, true, s, n);
}

void
bench_node_boot(struct bench_node *b)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	uint32_t n = b->shape.hosts + b->shape.wide_hosts;
	struct ir_section *s = talloc_array(mem, struct ir_section, n);

	b->config_revision = 1;
	b->list_revision = 1;
	b->generation = 1;
	boot_config(b, mem);
	for (uint32_t i = 0; i < n; i++)
		s[i] =
		    make_section(b, talloc_asprintf(mem, "host/host-%05u", i),
			bench_node_host_text(mem, b, i, false), true);
	deliver_store_read(b, true, true, s, n);
	talloc_free(mem);
	bench_node_confirm_view(b);
	bench_node_run(b, 2 * IR_US_PER_S);
}

void
bench_node_change(struct bench_node *b, const char *kind, uint32_t which)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	bool host = strcmp(kind, "host") == 0;
	char *name = talloc_asprintf(mem, "service-%03u", which);
	struct ir_section s;

	b->list_revision += host;
	b->config_revision += !host;
	b->generation++;
	if (host)
		s = make_section(b,
		    talloc_asprintf(mem, "host/host-%05u", which),
		    bench_node_host_text(mem, b, which, b->generation & 1),
		    true);
	else if (strcmp(kind, "service") == 0)
		s = make_section(b, talloc_asprintf(mem, "service/%s", name),
		    bench_node_service_text(mem, b, name), false);
	else
		s = make_section(b, talloc_strdup(mem, "accounts"),
		    bench_node_accounts_text(mem, b), false);
	deliver_store_read(b, host, false, &s, 1);
	talloc_free(mem);
}

struct bench_node *
bench_node_new(const struct fleet_shape *shape)
{
	struct bench_node *b = talloc_zero(NULL, struct bench_node);
	struct ir_node_settings s = {.host = "host-00000",
	    .service = "service-000",
	    .region = "r0",
	    .zone = "r0-z0",
	    .initial_slots = 4096,
	    .incarnation = 7,
	    .seed = 1};

	measure_clock_cost();
	b->shape = *shape;
	b->now_us = 1000 * IR_US_PER_S;
	b->next_call = 1;
	b->next_attempt = 1;
	b->node = ir_node_new(b, b->now_us, &s, &ops, b);
	return b;
}

/* Fills the reply of the simulated peer; false when it sends none. */
static bool
fill_reply(struct bench_node *b, const struct sent_message *s, struct ir_msg *m,
    struct ir_msg *r)
{
	struct ir_load load = {.limit = 4096, .service_time_us = 1000};

	r->kind = m->kind + 1;
	switch (m->kind) {
	case IR_MSG_HELLO:
		r->ir_msg_u.hello_reply.accepted = true;
		r->ir_msg_u.hello_reply.host = m->ir_msg_u.hello.expected_host;
		r->ir_msg_u.hello_reply.incarnation = 9;
		return true;
	case IR_MSG_HEARTBEAT:
		r->ir_msg_u.heartbeat_reply.incarnation = 9;
		r->ir_msg_u.heartbeat_reply.config_revision =
		    b->config_revision;
		r->ir_msg_u.heartbeat_reply.list_revision = b->list_revision;
		r->ir_msg_u.heartbeat_reply.load = load;
		return true;
	case IR_MSG_VIEW_REQUEST:
		r->ir_msg_u.view.config_revision = b->config_revision;
		r->ir_msg_u.view.list_revision = b->list_revision;
		r->ir_msg_u.view.outage_age_us = UINT64_MAX;
		return true;
	case IR_MSG_GRANT_REQUEST:
		r->ir_msg_u.grant.sequence = m->ir_msg_u.grant_request.sequence;
		r->ir_msg_u.grant.account = m->ir_msg_u.grant_request.account;
		r->ir_msg_u.grant.bucket = m->ir_msg_u.grant_request.bucket;
		r->ir_msg_u.grant.count =
		    m->ir_msg_u.grant_request.requested_tokens;
		r->ir_msg_u.grant.valid_us = (uint32_t)IR_GRANT_VALID_US;
		r->ir_msg_u.grant.issuing = true;
		return true;
	case IR_MSG_FORWARD:
		r->ir_msg_u.answer.attempt = m->ir_msg_u.forward.attempt;
		r->ir_msg_u.answer.incarnation = 9;
		r->ir_msg_u.answer.status = 200;
		r->ir_msg_u.answer.load = load;
		r->ir_msg_u.answer.body.body_val = answer_body;
		r->ir_msg_u.answer.body.body_len = sizeof(answer_body);
		return !b->withhold_answers;
	default:
		return m->kind == IR_MSG_CANCEL || m->kind == IR_MSG_HANDOVER;
	}
}

void
bench_node_deliver(
    struct bench_node *b, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	uint8_t *data;
	size_t n = ir_codec_encode(b, xid, m, &data);
	struct ir_msg in;
	const char *error;
	uint32_t got;
	int64_t t;

	count_message(b, m->kind, n);
	t = begin_timing();
	if (ir_codec_decode(data, n, &got, &in, &error) == 0)
		ir_node_message_received(b->node, b->now_us, conn, got, &in);
	ir_codec_free(&in);
	end_timing(b, t);
	talloc_free(data);
}

static void
answer_message(struct bench_node *b, const struct sent_message *s)
{
	struct ir_msg m, r = {0};
	const char *error;
	uint32_t xid;

	if (ir_codec_decode(s->data, s->size_bytes, &xid, &m, &error) == 0 &&
	    ir_msg_is_call(&m) && fill_reply(b, s, &m, &r))
		bench_node_deliver(b, s->conn, xid, &r);
	ir_codec_free(&m);
}

static void
complete_connections(struct bench_node *b)
{
	for (uint32_t i = 0; i < b->pending_conn_count; i++)
		ir_node_conn_established(
		    b->node, b->now_us, b->pending_conns[i]);
	b->pending_conn_count = 0;
}

void
bench_node_exchange(struct bench_node *b)
{
	struct sent_message *s;

	complete_connections(b);
	while (b->outbox != NULL) {
		struct sent_message *batch = NULL;

		while ((s = b->outbox) != NULL) {
			LL_DELETE(b->outbox, s);
			LL_PREPEND(batch, s);
		}
		while ((s = batch) != NULL) {
			LL_DELETE(batch, s);
			answer_message(b, s);
			talloc_free(s);
		}
		complete_connections(b);
	}
}

void
bench_node_tick(struct bench_node *b)
{
	int64_t t = begin_timing();

	ir_node_tick(b->node, b->now_us);
	end_timing(b, t);
}

void
bench_node_run(struct bench_node *b, int64_t for_us)
{
	int64_t stop = b->now_us + for_us, confirm_us = b->now_us;

	while (b->now_us < stop) {
		int64_t next = b->now_us + TICK_INTERVAL_US;

		bench_node_tick(b);
		b->now_us += RTT_US;
		bench_node_exchange(b);
		b->now_us = next;
		if (b->now_us - confirm_us < CONFIRM_INTERVAL_US)
			continue;
		confirm_us = b->now_us;
		bench_node_confirm_view(b);
	}
}

void
bench_node_accept_link(struct bench_node *b, uint32_t conn, uint32_t host)
{
	struct ir_msg m = {.kind = IR_MSG_HELLO};
	char name[32];

	bench_node_host_name(name, sizeof(name), host);
	m.ir_msg_u.hello.host = name;
	m.ir_msg_u.hello.incarnation = 9;
	m.ir_msg_u.hello.expected_host = ir_unconst("host-00000");
	bench_node_deliver(b, conn, 1, &m);
}

void
bench_node_call(struct bench_node *b, const char *service, uint32_t account)
{
	char key[32];
	struct ir_call c = {.id = b->next_call++,
	    .service = service,
	    .method = "GET",
	    .path = account == UINT32_MAX ? "/route-00" : "/route-01",
	    .key = account == UINT32_MAX ? NULL : key};
	int64_t t;

	(void)snprintf(key, sizeof(key), "key-%u", account);
	t = begin_timing();
	ir_node_call(b->node, b->now_us, &c);
	end_timing(b, t);
}

static char empty_text[] = "";

void
bench_node_forward(struct bench_node *b, uint32_t conn, bool run)
{
	struct ir_msg m = {.kind = IR_MSG_FORWARD};
	struct ir_forward *f = &m.ir_msg_u.forward;
	struct ir_run_result r = {.status = 200,
	    .body = (const uint8_t *)answer_body,
	    .body_bytes = sizeof(answer_body)};
	int64_t t;

	f->authority = empty_text;
	f->caller_attempt = empty_text;
	f->origin = empty_text;
	f->attempt.incarnation = 9;
	f->attempt.sequence = b->next_attempt++;
	f->service = ir_unconst("service-000");
	f->account = ir_unconst("");
	f->key_digest = ir_unconst("");
	f->open = true;
	f->idempotent = true;
	f->remaining_us = 30000000;
	f->idempotency_key = ir_unconst("");
	f->method = ir_unconst("GET");
	f->path = ir_unconst("/route-00");
	bench_node_deliver(b, conn, (uint32_t)f->attempt.sequence, &m);
	if (!run)
		return;
	t = begin_timing();
	ir_node_run_ended(b->node, b->now_us, b->last_run, &r);
	end_timing(b, t);
}
