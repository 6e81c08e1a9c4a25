/* What a node says of its readiness while it reads the configuration service.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "core/unconst.h"
#include "host/section.h"
#include "ibisrail/node.h"

#define NOW_US (1000 * IR_US_PER_S)

static const char fleet[] =
    "{\"generation\":1,\"store_region\":\"r\","
    "\"link_bytes_per_s\":1000000000,\"unconfirmed_view\":\"serve\"}";
static const char host[] =
    "{\"name\":\"h2\",\"service\":\"s\",\"region\":\"r\",\"zone\":\"z\","
    "\"address\":\"10.0.0.2\",\"peer_port\":7003,\"caller_port\":7001,"
    "\"state\":\"live\"}";

static bool
on_connect(void *ctx, uint32_t conn, const char *address, uint16_t port)
{
	return true;
}

static void
on_close(void *ctx, uint32_t conn)
{
}

static void
on_log(void *ctx, enum ir_event event, const char *fields)
{
}

static const struct ir_node_ops ops = {
    .connect = on_connect, .close = on_close, .log = on_log};

/* name: of the section, NULL for none. */
static void
read_store(struct ir_node *n, bool hosts, const char *name, const char *text)
{
	struct ir_section s = {
	    .name = ir_unconst(name), .revision = 1, .text = ir_unconst(text)};
	struct ir_store_read r = {.request_sent_us = NOW_US,
	    .is_host_list = hosts,
	    .complete = true,
	    .revision = 1,
	    .sections = &s,
	    .section_count = name != NULL};

	ir_node_store_read(n, NOW_US, &r);
}

static struct ir_node *
new_node(struct ir_memory *memory)
{
	const struct ir_node_settings s = {.host = "h1",
	    .service = "s",
	    .region = "r",
	    .zone = "z",
	    .initial_slots = 8,
	    .incarnation = 7,
	    .seed = 1,
	    .memory = memory};

	ir_memory_init(memory, 0);
	return ir_node_new(NULL, NOW_US, &s, &ops, NULL);
}

/* Callers would be kept at a node that can only refuse them. */
static void
test_node_without_a_host_list_is_not_ready(void **state)
{
	struct ir_memory memory;
	struct ir_node *n = new_node(&memory);

	assert_false(ir_node_is_ready(n, NOW_US));
	read_store(n, false, "fleet", fleet);
	assert_false(ir_node_is_ready(n, NOW_US));
	read_store(n, true, NULL, NULL);
	assert_false(ir_node_is_ready(n, NOW_US));
	/* Its own upstream may not be listed yet. */
	read_store(n, true, "host/h2", host);
	assert_true(ir_node_is_ready(n, NOW_US));
	talloc_free(n);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_node_without_a_host_list_is_not_ready),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
