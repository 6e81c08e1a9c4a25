/* The made-up fleet around one node. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "core/unconst.h"
#include "link/codec.h"
#include "world.h"

#define TICK_US (10 * IR_US_PER_MS)
#define RTT_US INT64_C(500)
#define CONFIRM_US (200 * IR_US_PER_MS)
#define ANSWER_BYTES 1024
#define CALIBRATE_TIMES 1000

static char body[ANSWER_BYTES];
static int64_t clock_ns;

int64_t
cpu_now_ns(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

double
memory_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)m.uordblks + (double)m.hblkhd;
}

static int64_t
begin(void)
{
	return cpu_now_ns();
}

static void
end(struct world *w, int64_t since)
{
	w->cpu_ns += cpu_now_ns() - since - clock_ns;
}

/* What reading the clock itself takes. */
static void
calibrate(void)
{
	int64_t t = cpu_now_ns();

	for (int i = 0; i < CALIBRATE_TIMES; i++)
		(void)cpu_now_ns();
	clock_ns = (cpu_now_ns() - t) / CALIBRATE_TIMES;
}

static void
count(struct world *w, enum ir_msg_kind kind, size_t size_bytes)
{
	w->messages[kind]++;
	w->bytes[kind] += size_bytes;
}

void
world_clear_counts(struct world *w)
{
	memset(w->messages, 0, sizeof(w->messages));
	memset(w->bytes, 0, sizeof(w->bytes));
	w->cpu_ns = 0;
}

/* The node's actions. */

static void
on_connect(void *ctx, uint32_t conn, const char *address, uint16_t port)
{
	struct world *w = ctx;
	uint32_t at = conn / 2;

	if (at >= w->name_count) {
		w->names = talloc_realloc(w, w->names, char *, at + 64);
		w->name_count = at + 64;
	}
	w->names[at] = NULL;
	w->to_connect =
	    talloc_realloc(w, w->to_connect, uint32_t, w->to_connect_count + 1);
	w->to_connect[w->to_connect_count++] = conn;
}

static void
on_close(void *ctx, uint32_t conn)
{
}

static void
on_send(void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	struct world *w = ctx;
	struct sent *s = talloc_zero(w, struct sent);

	s->conn = conn;
	s->xid = xid;
	s->kind = m->kind;
	s->size_bytes = ir_codec_encode(s, xid, m, &s->data);
	count(w, m->kind, s->size_bytes);
	LL_PREPEND(w->out, s);
}

static void
on_run(void *ctx, const struct ir_run *r)
{
	struct world *w = ctx;

	w->run = r->id;
	w->runs++;
}

static void
on_cancel_run(void *ctx, uint64_t id)
{
}

static void
on_answer(void *ctx, uint64_t call, const struct ir_answer *a)
{
	struct world *w = ctx;

	w->answers += a->error == IR_OK;
}

static void
on_log(void *ctx, enum ir_event event, const char *fields)
{
}

static const struct ir_node_ops ops = {
    on_connect, on_close, on_send, on_run, on_cancel_run, on_answer, on_log};

static void
read_store(
    struct world *w, bool hosts, bool whole, struct ir_section *s, size_t n)
{
	uint64_t revision = hosts ? w->list_revision : w->config_revision;
	struct ir_store_read r = {.request_sent_us = w->now,
	    .is_host_list = hosts,
	    .complete = whole,
	    .revision = revision,
	    .sections = s,
	    .section_count = n};
	int64_t t = begin();

	ir_node_store_read(w->node, w->now, &r);
	end(w, t);
}

void
world_confirm(struct world *w)
{
	read_store(w, false, false, NULL, 0);
	read_store(w, true, false, NULL, 0);
}

static struct ir_section
section(const struct world *w, const char *name, const char *text, bool host)
{
	struct ir_section s = {.name = ir_unconst(name),
	    .revision = host ? w->list_revision : w->config_revision,
	    .text = ir_unconst(text)};

	return s;
}

static void
boot_config(struct world *w, TALLOC_CTX *mem)
{
	size_t n = 0;
	struct ir_section *s =
	    talloc_array(mem, struct ir_section, w->shape.services + 3);

	s[n++] = section(w, talloc_strdup(mem, "fleet"),
	    talloc_strdup(mem, "{\"generation\":1,\"store_region\":\"r0\","
			       "\"link_bytes_per_s\":1000000000,"
			       "\"unconfirmed_view\":\"refuse\"}"),
	    false);
	s[n++] = section(w, talloc_strdup(mem, "accounts"),
	    world_accounts_text(mem, w), false);
	for (uint32_t i = 0; i <= w->shape.services; i++) {
		char *name = talloc_asprintf(mem, "service-%03u", i);

		if (i == w->shape.services)
			name = talloc_strdup(mem, "wide");
		s[n++] = section(w, talloc_asprintf(mem, "service/%s", name),
		    world_service_text(mem, w, name), false);
	}
	read_store(w, false, true, s, n);
}

void
world_boot(struct world *w)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	uint32_t n = w->shape.hosts + w->shape.wide;
	struct ir_section *s = talloc_array(mem, struct ir_section, n);

	w->config_revision = 1;
	w->list_revision = 1;
	w->generation = 1;
	boot_config(w, mem);
	for (uint32_t i = 0; i < n; i++)
		s[i] = section(w, talloc_asprintf(mem, "host/host-%05u", i),
		    world_host_text(mem, w, i, false), true);
	read_store(w, true, true, s, n);
	talloc_free(mem);
	world_confirm(w);
	world_run(w, 2 * IR_US_PER_S);
}

void
world_change(struct world *w, const char *kind, uint32_t which)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	bool host = strcmp(kind, "host") == 0;
	char *name = talloc_asprintf(mem, "service-%03u", which);
	struct ir_section s;

	w->list_revision += host;
	w->config_revision += !host;
	w->generation++;
	if (host)
		s = section(w, talloc_asprintf(mem, "host/host-%05u", which),
		    world_host_text(mem, w, which, w->generation & 1), true);
	else if (strcmp(kind, "service") == 0)
		s = section(w, talloc_asprintf(mem, "service/%s", name),
		    world_service_text(mem, w, name), false);
	else
		s = section(w, talloc_strdup(mem, "accounts"),
		    world_accounts_text(mem, w), false);
	read_store(w, host, false, &s, 1);
	talloc_free(mem);
}

struct world *
world_new(const struct shape *shape)
{
	struct world *w = talloc_zero(NULL, struct world);
	struct ir_node_settings s = {.host = "host-00000",
	    .service = "service-000",
	    .region = "r0",
	    .zone = "r0-z0",
	    .initial_slots = 4096,
	    .incarnation = 7,
	    .seed = 1};

	calibrate();
	w->shape = *shape;
	w->now = 1000 * IR_US_PER_S;
	w->next_call = 1;
	w->next_attempt = 1;
	w->node = ir_node_new(w, w->now, &s, &ops, w);
	return w;
}

/* What the other end says to a message. */
static bool
fill_reply(
    struct world *w, const struct sent *s, struct ir_msg *m, struct ir_msg *r)
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
		    w->config_revision;
		r->ir_msg_u.heartbeat_reply.list_revision = w->list_revision;
		r->ir_msg_u.heartbeat_reply.load = load;
		return true;
	case IR_MSG_VIEW_REQUEST:
		r->ir_msg_u.view.config_revision = w->config_revision;
		r->ir_msg_u.view.list_revision = w->list_revision;
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
		r->ir_msg_u.answer.body.body_val = body;
		r->ir_msg_u.answer.body.body_len = sizeof(body);
		return !w->hold;
	default:
		return m->kind == IR_MSG_CANCEL || m->kind == IR_MSG_HANDOVER;
	}
}

void
world_feed(struct world *w, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	uint8_t *data;
	size_t n = ir_codec_encode(w, xid, m, &data);
	struct ir_msg in;
	const char *error;
	uint32_t got;
	int64_t t;

	count(w, m->kind, n);
	t = begin();
	if (ir_codec_decode(data, n, &got, &in, &error) == 0)
		ir_node_message_received(w->node, w->now, conn, got, &in);
	ir_codec_free(&in);
	end(w, t);
	talloc_free(data);
}

static void
answer(struct world *w, const struct sent *s)
{
	struct ir_msg m, r = {0};
	const char *error;
	uint32_t xid;

	if (ir_codec_decode(s->data, s->size_bytes, &xid, &m, &error) == 0 &&
	    ir_msg_is_call(&m) && fill_reply(w, s, &m, &r))
		world_feed(w, s->conn, xid, &r);
	ir_codec_free(&m);
}

static void
make_connections(struct world *w)
{
	for (uint32_t i = 0; i < w->to_connect_count; i++)
		ir_node_conn_established(w->node, w->now, w->to_connect[i]);
	w->to_connect_count = 0;
}

void
world_pump(struct world *w)
{
	struct sent *s;

	make_connections(w);
	while (w->out != NULL) {
		struct sent *batch = NULL;

		while ((s = w->out) != NULL) {
			LL_DELETE(w->out, s);
			LL_PREPEND(batch, s);
		}
		while ((s = batch) != NULL) {
			LL_DELETE(batch, s);
			answer(w, s);
			talloc_free(s);
		}
		make_connections(w);
	}
}

void
world_tick(struct world *w)
{
	int64_t t = begin();

	ir_node_tick(w->node, w->now);
	end(w, t);
}

void
world_run(struct world *w, int64_t for_us)
{
	int64_t stop = w->now + for_us, confirm_us = w->now;

	while (w->now < stop) {
		int64_t next = w->now + TICK_US;

		world_tick(w);
		w->now += RTT_US;
		world_pump(w);
		w->now = next;
		if (w->now - confirm_us < CONFIRM_US)
			continue;
		confirm_us = w->now;
		world_confirm(w);
	}
}

void
world_accept(struct world *w, uint32_t conn, uint32_t host)
{
	struct ir_msg m = {.kind = IR_MSG_HELLO};
	char name[32];

	world_host_name(name, sizeof(name), host);
	m.ir_msg_u.hello.host = name;
	m.ir_msg_u.hello.incarnation = 9;
	m.ir_msg_u.hello.expected_host = ir_unconst("host-00000");
	world_feed(w, conn, 1, &m);
}

void
world_call(struct world *w, const char *service, uint32_t account)
{
	char key[32];
	struct ir_call c = {.id = w->next_call++,
	    .service = service,
	    .method = "GET",
	    .path = account == UINT32_MAX ? "/route-00" : "/route-01",
	    .key = account == UINT32_MAX ? NULL : key};
	int64_t t;

	(void)snprintf(key, sizeof(key), "key-%u", account);
	t = begin();
	ir_node_call(w->node, w->now, &c);
	end(w, t);
}

static char empty[] = "";

void
world_forward(struct world *w, uint32_t conn, bool run)
{
	struct ir_msg m = {.kind = IR_MSG_FORWARD};
	struct ir_forward *f = &m.ir_msg_u.forward;
	struct ir_run_result r = {.status = 200,
	    .body = (const uint8_t *)body,
	    .body_bytes = sizeof(body)};
	int64_t t;

	f->authority = empty;
	f->caller_attempt = empty;
	f->origin = empty;
	f->attempt.incarnation = 9;
	f->attempt.sequence = w->next_attempt++;
	f->service = ir_unconst("service-000");
	f->account = ir_unconst("");
	f->key_digest = ir_unconst("");
	f->open = true;
	f->idempotent = true;
	f->remaining_us = 30000000;
	f->idempotency_key = ir_unconst("");
	f->method = ir_unconst("GET");
	f->path = ir_unconst("/route-00");
	world_feed(w, conn, (uint32_t)f->attempt.sequence, &m);
	if (!run)
		return;
	t = begin();
	ir_node_run_ended(w->node, w->now, w->run, &r);
	end(w, t);
}
