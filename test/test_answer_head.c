/*
 * Heads of answers that come in pieces: guards against a check that sees only a
 * part of a head, or bytes behind it.
 */
#include <http_parser.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "core/random.h"
#include "io/upstream/answer_head.h"

#define HEAD "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"
#define BODY "body\r\n\r\n"

struct fixture {
	struct ir_memory memory;
	struct ir_upstream_memory run_memory;
	struct ir_answer_head head;
};

static struct fixture
start(void)
{
	struct fixture f = {0};

	ir_memory_init(&f.memory, 0);
	return f;
}

/* Reads all of data until the head is complete. Returns the bytes read. */
static size_t
read_all(struct ir_answer_head *h, const char *data, size_t size)
{
	size_t n = 0;

	while (n < size && h->text == NULL && h->fault == NULL)
		n +=
		    ir_answer_head_read(h, (const uint8_t *)data + n, size - n);
	return n;
}

static void
expect_head(const struct ir_answer_head *h, const char *text)
{
	assert_null(h->fault);
	assert_non_null(h->text);
	assert_int_equal(h->text_bytes, strlen(text));
	assert_memory_equal(h->text, text, strlen(text));
}

static void
test_head_is_the_same_wherever_it_is_cut(void **state)
{
	static const char data[] = "\r\n" HEAD BODY;
	const size_t head_end = strlen("\r\n" HEAD);
	struct fixture f = start();

	f.run_memory.process_memory = &f.memory;
	f.head.memory = &f.run_memory;
	for (size_t cut = 0; cut <= head_end; cut++) {
		size_t n = read_all(&f.head, data, cut);

		n += read_all(&f.head, data + n, sizeof(data) - 1 - n);
		assert_int_equal(n, head_end);
		expect_head(&f.head, HEAD);
		ir_answer_head_reset(&f.head);
		assert_int_equal(f.run_memory.reserved_bytes, 0);
	}
}

static void
test_fault_is_found_wherever_the_head_is_cut(void **state)
{
	static const char data[] = "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n";
	struct fixture f = start();

	for (size_t cut = 0; cut < sizeof(data) - 1; cut++) {
		size_t n = read_all(&f.head, data, cut);

		assert_null(f.head.fault);
		(void)read_all(&f.head, data + n, sizeof(data) - 1 - n);
		assert_string_equal(f.head.fault, "field-name");
		assert_null(f.head.text);
		ir_answer_head_reset(&f.head);
	}
}

static void
test_lines_may_end_without_cr(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\nX-A: b\n\n";
	struct fixture f = start();

	(void)read_all(&f.head, text, sizeof(text) - 1);
	expect_head(&f.head, text);
}

static void
test_head_without_end_is_a_fault(void **state)
{
	struct fixture f = start();
	char piece[1000];
	size_t n = 0;

	memset(piece, 'x', sizeof(piece));
	while (f.head.fault == NULL)
		n += read_all(&f.head, piece, sizeof(piece));
	assert_string_equal(f.head.fault, "head-too-large");
	assert_in_range(n, IR_MAX_ANSWER_HEAD_BYTES,
	    IR_MAX_ANSWER_HEAD_BYTES + sizeof(piece));
	ir_answer_head_reset(&f.head);
}

static size_t head_end_bytes;

static int
on_headers_complete(http_parser *p)
{
	head_end_bytes = 0;
	return 1; /* no body */
}

/* Where http_parser ends the head; 0 if it refuses it, SIZE_MAX: further on. */
static size_t
parser_head_end(const char *text, size_t size)
{
	const http_parser_settings callbacks = {
	    .on_headers_complete = on_headers_complete};
	http_parser p;

	http_parser_init(&p, HTTP_RESPONSE);
	for (size_t n = 1; n <= size; n++) {
		head_end_bytes = SIZE_MAX;
		if (http_parser_execute(&p, &callbacks, text + n - 1, 1) != 1)
			return 0;
		if (head_end_bytes == 0)
			return n;
	}
	return SIZE_MAX;
}

/* What follows a head must not be parsed as a part of it. */
static void
test_parser_ends_a_checked_head_where_it_ends(void **state)
{
	static const char *const parts[] = {"\r\n", "\n", "\r", " ", "\t", ":",
	    "HTTP/1.1 200 OK", "HTTP/1.1 101 ", "HTTP/1.0 204", "X-A", "b, c",
	    "Connection: close", "Connection: upgrade", "Upgrade: h2c",
	    "Content-Length: 2", "Transfer-Encoding: chunked",
	    "Keep-Alive: ", "\x01", "\xc3\xa9", "\r\n", "\r\n\r\n"};
	uint64_t random = 1;
	int checked = 0;

	for (int i = 0; i < 400000; i++) {
		char text[1024] = "HTTP/1.1 200 OK\r\n";
		size_t n = ir_random_below(&random, 4) == 0 ? 0 : strlen(text);
		struct fixture f = start();

		for (int k = 0; k < 12; k++)
			n += (size_t)sprintf(text + n, "%s",
			    parts[ir_random_below(
				&random, sizeof(parts) / sizeof(*parts))]);
		(void)read_all(&f.head, text, n);
		if (f.head.text != NULL) {
			size_t end = parser_head_end(
			    (const char *)f.head.text, f.head.text_bytes);

			if (end != 0 && end != f.head.text_bytes)
				fail_msg("%zu of %zu: %s", end,
				    f.head.text_bytes, text);
			checked += end != 0;
		}
		ir_answer_head_reset(&f.head);
	}
	assert_true(checked > 1000);
}

static void
test_pieces_are_charged(void **state)
{
	struct fixture f = start();

	f.run_memory.process_memory = &f.memory;
	f.head.memory = &f.run_memory;
	(void)read_all(&f.head, HEAD, strlen(HEAD) - 1);
	assert_true(f.run_memory.reserved_bytes >= strlen(HEAD) - 1);
	assert_int_equal(ir_memory_held(&f.memory, IR_MEMORY_UPSTREAM),
	    f.run_memory.reserved_bytes);
	ir_answer_head_reset(&f.head);
	assert_int_equal(ir_memory_held(&f.memory, IR_MEMORY_UPSTREAM), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_head_is_the_same_wherever_it_is_cut),
	    cmocka_unit_test(test_fault_is_found_wherever_the_head_is_cut),
	    cmocka_unit_test(test_lines_may_end_without_cr),
	    cmocka_unit_test(test_head_without_end_is_a_fault),
	    cmocka_unit_test(test_parser_ends_a_checked_head_where_it_ends),
	    cmocka_unit_test(test_pieces_are_charged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
