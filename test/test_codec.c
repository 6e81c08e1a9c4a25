/* Encoding and decoding of every message; malformed records are refused. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "link/codec.h"

#define XID 77
#define FLIP_ROUNDS 20000
#define SEED 20261203

#define TEXT(s) ((char[]){s})

static ir_header headers[] = {
    {TEXT("content-type"), TEXT("text/plain")}, {TEXT("x"), TEXT("")}};
static u_quad_t spent[] = {1, 2, 3};
static ir_section sections[] = {
    {TEXT("fleet"), 4, 5, TEXT("{}")}, {TEXT("host/a"), 6, 0, TEXT("")}};

static ir_crash crashes[] = {{7, 0}, {8, 1}};
static ir_suspect suspects[] = {
    {{1, 2, 3}, 4, {2, crashes}}, {{5, 6, 7}, 8, {0, NULL}}};

/* A kind that has no reply leaves the next even number unused. */
static int
next_kind(int kind)
{
	return kind >= IR_MSG_UPSTREAM_NOTICE ? kind + 2 : kind + 1;
}

/* The cast is safe: the encoder only reads the message. */
static char *
text(const char *s)
{
	return (char *)s;
}

static void
fill_reply(struct ir_reply *r)
{
	r->attempt.incarnation = UINT64_MAX;
	r->error = 3;
	r->status = 200;
	r->headers.headers_len = 2;
	r->headers.headers_val = headers;
	r->body.body_len = 5;
	r->body.body_val = text("a\0b\nc");
}

static void
fill_forward(struct ir_forward *f)
{
	f->attempt.sequence = 9;
	f->service = text("search");
	f->account = text("acme");
	f->key_digest = text("00ff");
	f->idempotency_key = text("");
	f->authority = text("shop.example");
	f->caller_attempt = text("9c41.07");
	f->origin = text("stock");
	f->method = text("POST");
	f->path = text("/a?b=c");
	f->headers.headers_len = 2;
	f->headers.headers_val = headers;
	f->body.body_len = 3;
	f->body.body_val = text("xyz");
}

static char *regions[] = {(char[]){"r1"}, (char[]){"r2"}};

static struct ir_msg
sample_message(int kind)
{
	struct ir_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = kind;
	switch (kind) {
	case IR_MSG_HELLO:
		m.ir_msg_u.hello.host = text("a");
		m.ir_msg_u.hello.expected_host = text("b");
		break;
	case IR_MSG_HELLO_REPLY:
		m.ir_msg_u.hello_reply.host = text("b");
		m.ir_msg_u.hello_reply.accepted = TRUE;
		break;
	case IR_MSG_FORWARD:
		fill_forward(&m.ir_msg_u.forward);
		break;
	case IR_MSG_ANSWER:
	case IR_MSG_STATUS_REPLY:
		fill_reply(&m.ir_msg_u.answer);
		break;
	case IR_MSG_GRANT_REQUEST:
		m.ir_msg_u.grant_request.account = text("acme");
		m.ir_msg_u.grant_request.spent_grants.spent_grants_len = 3;
		m.ir_msg_u.grant_request.spent_grants.spent_grants_val = spent;
		break;
	case IR_MSG_GRANT:
		m.ir_msg_u.grant.account = text("acme");
		break;
	case IR_MSG_VIEW:
		m.ir_msg_u.view.sections.sections_len = 2;
		m.ir_msg_u.view.sections.sections_val = sections;
		break;
	case IR_MSG_PART:
		m.ir_msg_u.part.record_bytes = 9;
		m.ir_msg_u.part.data.data_len = 3;
		m.ir_msg_u.part.data.data_val = text("xyz");
		break;
	case IR_MSG_SUSPECT_REPORT:
		m.ir_msg_u.suspect_report.service = text("s");
		m.ir_msg_u.suspect_report.entries.entries_len = 2;
		m.ir_msg_u.suspect_report.entries.entries_val = suspects;
		break;
	case IR_MSG_UPSTREAM_NOTICE:
		m.ir_msg_u.upstream_notice.upstream_id = text("i-1");
		m.ir_msg_u.upstream_notice.rate_mt_per_s = 4200;
		break;
	case IR_MSG_REGION_FORWARD:
		fill_forward(&m.ir_msg_u.region_forward.forward);
		m.ir_msg_u.region_forward.regions.regions_len = 2;
		m.ir_msg_u.region_forward.regions.regions_val = regions;
		break;
	case IR_MSG_HANDOVER:
		m.ir_msg_u.handover.account = text("acme");
		m.ir_msg_u.handover.available_mt = UINT64_MAX;
		break;
	default:
		break;
	}
	return m;
}

static size_t
encode(TALLOC_CTX *mem, const struct ir_msg *m, uint8_t **out)
{
	size_t size = ir_codec_encode(mem, XID, m, out);

	assert_int_not_equal(size, 0);
	return size;
}

static void
test_round_trip(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);

	for (int kind = IR_MSG_HELLO; kind <= IR_MSG_REGION_FORWARD;
	     kind = next_kind(kind)) {
		struct ir_msg m = sample_message(kind), decoded;
		const char *error;
		uint8_t *encoded, *encoded_again;
		uint32_t xid = 0;
		size_t size = encode(mem, &m, &encoded);

		assert_int_equal(ir_codec_record_size(encoded, size), size);
		assert_int_equal(
		    ir_codec_decode(encoded, size, &xid, &decoded, &error), 0);
		assert_int_equal(xid, XID);
		assert_int_equal(decoded.kind, kind);
		assert_int_equal(ir_msg_is_call(&decoded), kind % 2);
		assert_int_equal(encode(mem, &decoded, &encoded_again), size);
		assert_memory_equal(encoded, encoded_again, size);
		ir_codec_free(&decoded);
	}
	talloc_free(mem);
}

static void
expect_refused(const uint8_t *data, size_t size)
{
	struct ir_msg m;
	const char *error = NULL;
	uint32_t xid;

	assert_int_equal(ir_codec_decode(data, size, &xid, &m, &error), -1);
	assert_non_null(error);
	ir_codec_free(&m);
}

/* Tries each truncated record as it is, and with a mark of the right size. */
static void
test_every_truncation_is_refused(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);

	for (int kind = IR_MSG_HELLO; kind <= IR_MSG_REGION_FORWARD;
	     kind = next_kind(kind)) {
		struct ir_msg m = sample_message(kind);
		uint8_t *data;
		size_t size = encode(mem, &m, &data);

		for (size_t cut = 0; cut < size; cut++) {
			/* Separate: sanitizers find reads past it. */
			uint8_t *copy = malloc(cut + 1);
			uint32_t mark;

			memcpy(copy, data, cut);
			expect_refused(copy, cut);
			if (cut >= 4) {
				mark = htonl(0x80000000U | (cut - 4));
				memcpy(copy, &mark, sizeof(mark));
				expect_refused(copy, cut);
			}
			free(copy);
		}
	}
	talloc_free(mem);
}

static void
test_extra_bytes_are_refused(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_msg m = sample_message(IR_MSG_HELLO);
	uint8_t *data;
	size_t size = encode(mem, &m, &data);
	uint32_t mark = htonl(0x80000000U | size);

	data = talloc_realloc(mem, data, uint8_t, size + 4);
	memset(data + size, 0, 4);
	memcpy(data, &mark, sizeof(mark));
	expect_refused(data, size + 4);
	talloc_free(mem);
}

static void
test_procedure_must_match_kind(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_msg m = sample_message(IR_MSG_CANCEL);
	uint8_t *data;
	size_t size = encode(mem, &m, &data);

	/* Mark, xid, direction, RPC version, program, version, procedure. */
	data[4 + 6 * 4 - 1] = IR_MSG_STATUS;
	expect_refused(data, size);
	talloc_free(mem);
}

static void
test_message_over_a_bound_is_not_encoded(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_msg m = sample_message(IR_MSG_FORWARD);
	char name[IR_MAX_NAME + 2];
	uint8_t *data;

	memset(name, 'a', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	m.ir_msg_u.forward.service = name;
	assert_int_equal(ir_codec_encode(mem, XID, &m, &data), 0);
	m = sample_message(IR_MSG_FORWARD);
	m.ir_msg_u.forward.body.body_len = IR_MAX_BODY + 1;
	m.ir_msg_u.forward.body.body_val =
	    talloc_zero_size(mem, IR_MAX_BODY + 1);
	assert_int_equal(ir_codec_encode(mem, XID, &m, &data), 0);
	talloc_free(mem);
}

/* Each section is within its bound, all together exceed
 * IR_MAX_RPC_RECORD_BYTES. */
static void
test_message_over_max_record_is_not_encoded(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_msg m = sample_message(IR_MSG_VIEW);
	char *long_text = talloc_zero_array(mem, char, IR_MAX_SECTION_TEXT + 1);
	ir_section many[9];
	uint8_t *data;

	memset(long_text, 'x', IR_MAX_SECTION_TEXT);
	for (size_t i = 0; i < 9; i++) {
		many[i] = sections[0];
		many[i].text = long_text;
	}
	m.ir_msg_u.view.sections.sections_len = 9;
	m.ir_msg_u.view.sections.sections_val = many;
	assert_int_equal(ir_codec_encode(mem, XID, &m, &data), 0);
	m.ir_msg_u.view.sections.sections_len = 7;
	assert_int_not_equal(ir_codec_encode(mem, XID, &m, &data), 0);
	talloc_free(mem);
}

static void
test_record_size(void **state)
{
	const uint8_t last[] = {0x80, 0, 0, 8};
	const uint8_t fragment[] = {0, 0, 0, 8};
	const uint8_t large[] = {0x80, 0x80, 0, 1};

	assert_int_equal(ir_codec_record_size(last, 3), 0);
	assert_int_equal(ir_codec_record_size(last, 4), 12);
	assert_true(ir_codec_record_size(fragment, 4) == SIZE_MAX);
	assert_true(ir_codec_record_size(large, 4) == SIZE_MAX);
}

static uint32_t
next_random(uint32_t *seed)
{
	*seed = *seed * 1664525U + 1013904223U;
	return *seed >> 8;
}

static int
random_kind(uint32_t *seed)
{
	int kind = IR_MSG_HELLO;

	for (uint32_t n = next_random(seed) % 20; n > 0; n--)
		kind = next_kind(kind);
	return kind;
}

/* A message that is decoded from damaged bytes can be encoded and freed. */
static void
test_messages_with_flipped_bits(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	uint32_t seed = SEED;

	for (int round = 0; round < FLIP_ROUNDS; round++) {
		struct ir_msg m = sample_message(random_kind(&seed)), decoded;
		const char *error;
		uint8_t *data, *reencoded;
		uint32_t xid;
		size_t size = encode(mem, &m, &data);

		for (uint32_t n = 1 + next_random(&seed) % 3; n > 0; n--)
			data[4 + next_random(&seed) % (size - 4)] ^=
			    (uint8_t)(1U << next_random(&seed) % 8);
		if (ir_codec_decode(data, size, &xid, &decoded, &error) == 0)
			encode(mem, &decoded, &reencoded);
		ir_codec_free(&decoded);
		talloc_free_children(mem);
	}
	talloc_free(mem);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_round_trip),
	    cmocka_unit_test(test_every_truncation_is_refused),
	    cmocka_unit_test(test_extra_bytes_are_refused),
	    cmocka_unit_test(test_procedure_must_match_kind),
	    cmocka_unit_test(test_message_over_a_bound_is_not_encoded),
	    cmocka_unit_test(test_message_over_max_record_is_not_encoded),
	    cmocka_unit_test(test_record_size),
	    cmocka_unit_test(test_messages_with_flipped_bits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
