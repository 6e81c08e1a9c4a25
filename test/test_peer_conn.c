/*
 * Connections to peers: records in and out, whatever the pieces, bad ones,
 * and a core that is slow to take them. The core is played by the test.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "io/listen.h"
#include "io/peers/peers.h"
#include "link/codec.h"

#define RING_SLOTS 4
#define MANY 500

struct fixture {
	struct ir_wake *core;
	struct ir_channel *channel;
	struct ir_peers *peers;
	pthread_t thread;
	uint16_t port;
};

static int
set_up(void **state)
{
	const struct ir_endpoint any = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);
	int fd = ir_listen(&any, false, &f->port);

	f->core = ir_wake_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, NULL, RING_SLOTS);
	f->peers =
	    ir_peers_new(f->core, f->channel, IR_MAX_PEER_CONNECTIONS, fd);
	*state = f;
	return pthread_create(&f->thread, NULL, ir_peers_run, f->peers);
}

static void
order(struct fixture *f, struct ir_from_core *m)
{
	while (!ir_ring_push(f->channel->from_core, m))
		sched_yield();
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	order(f, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f->thread, NULL);
	talloc_free(f->peers);
	talloc_free(f->core);
	talloc_free(f);
	return 0;
}

static struct ir_to_core *
next(struct fixture *f)
{
	struct pollfd p = {.fd = ir_wake_fd(f->core), .events = POLLIN};
	struct ir_to_core *m;

	while ((m = ir_ring_pop(f->channel->to_core)) == NULL) {
		ir_wake_arm(f->core);
		if (ir_ring_empty(f->channel->to_core))
			poll(&p, 1, -1);
		ir_wake_disarm(f->core);
	}
	return m;
}

static void
expect(struct fixture *f, enum ir_to_core_kind kind, uint32_t conn)
{
	struct ir_to_core *m = next(f);

	assert_int_equal(m->kind, kind);
	assert_int_equal(m->conn, conn);
	talloc_free(m);
}

static int
dial(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

static size_t
record(TALLOC_CTX *mem, uint32_t xid, uint8_t **data)
{
	struct ir_msg m = {.kind = IR_MSG_HANDOVER_REPLY};

	return ir_codec_encode(mem, xid, &m, data);
}

static void
test_record_in_pieces_and_answer(void **state)
{
	struct fixture *f = *state;
	struct ir_from_core *out = ir_from_core_new(IR_FROM_CORE_SEND);
	uint8_t *data, back[128];
	size_t size = record(out, 7, &data);
	int fd = dial(f->port);
	struct ir_to_core *m;

	for (size_t i = 0; i < size; i++)
		assert_int_equal(send(fd, data + i, 1, 0), 1);
	m = next(f);
	assert_int_equal(m->kind, IR_TO_CORE_MESSAGE);
	assert_int_equal(m->conn % 2, 1);
	assert_int_equal(m->xid, 7);
	assert_int_equal(m->u.msg.kind, IR_MSG_HANDOVER_REPLY);
	out->conn = m->conn;
	out->u.send.data = data;
	out->u.send.size_bytes = size;
	order(f, out);
	assert_int_equal(recv(fd, back, size, MSG_WAITALL), size);
	close(fd);
	expect(f, IR_TO_CORE_CLOSED, m->conn);
	talloc_free(m);
}

static void
test_bad_record_closes(void **state)
{
	struct fixture *f = *state;
	const uint8_t bad[] = {0x80, 0, 0, 8, 0, 0, 0, 1, 0, 0, 0, 9};
	const uint8_t fragment[] = {0, 0, 0, 8};
	uint8_t byte;
	int fd = dial(f->port);

	assert_int_equal(send(fd, bad, sizeof(bad), 0), sizeof(bad));
	assert_int_equal(recv(fd, &byte, 1, 0), 0);
	expect(f, IR_TO_CORE_CLOSED, 1);
	assert_int_equal(
	    __atomic_load_n(
		&f->channel->counters.value[IR_MESSAGES_BAD], __ATOMIC_RELAXED),
	    1);
	close(fd);
	fd = dial(f->port);
	assert_int_equal(send(fd, fragment, 4, 0), 4);
	assert_int_equal(recv(fd, &byte, 1, 0), 0);
	expect(f, IR_TO_CORE_CLOSED, 3);
	close(fd);
}

/* More than the ring takes: nothing is lost and the order stays. */
static void
test_slow_core_loses_nothing(void **state)
{
	struct fixture *f = *state;
	TALLOC_CTX *mem = talloc_new(NULL);
	int fd = dial(f->port);

	for (uint32_t i = 1; i <= MANY; i++) {
		uint8_t *data;
		size_t size = record(mem, i, &data);

		assert_int_equal(send(fd, data, size, 0), size);
	}
	for (uint32_t i = 1; i <= MANY; i++) {
		struct ir_to_core *m = next(f);

		assert_int_equal(m->kind, IR_TO_CORE_MESSAGE);
		assert_int_equal(m->xid, i);
		talloc_free(m);
	}
	close(fd);
	expect(f, IR_TO_CORE_CLOSED, 1);
	talloc_free(mem);
}

static void
order_connect(struct fixture *f, uint32_t conn, uint16_t port)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_CONNECT);

	m->conn = conn;
	m->u.connect.address = "127.0.0.1";
	m->u.connect.port = port;
	order(f, m);
}

/* A connection to itself: the even end and the odd end. */
static void
test_connect_and_close(void **state)
{
	struct fixture *f = *state;
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_CLOSE);

	order_connect(f, 2, f->port);
	expect(f, IR_TO_CORE_CONNECTED, 2);
	m->conn = 2;
	order(f, m);
	expect(f, IR_TO_CORE_CLOSED, 2);
	expect(f, IR_TO_CORE_CLOSED, 1);
}

static void
test_connect_refused(void **state)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&a, size), 0);
	getsockname(fd, (struct sockaddr *)&a, &size);
	order_connect(*state, 2, ntohs(a.sin_port));
	expect(*state, IR_TO_CORE_CLOSED, 2);
	close(fd);
}

/* A peer that reads nothing: the connection is closed, memory is bounded. */
static void
test_unsent_bytes_are_bounded(void **state)
{
	struct fixture *f = *state;
	int fd = dial(f->port);
	int kept_bytes = 65536;
	uint8_t *data;
	size_t size = record(NULL, 1, &data);
	struct ir_to_core *m;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kept_bytes, sizeof(kept_bytes));
	assert_int_equal(send(fd, data, size, 0), size);
	talloc_free(data);
	m = next(f);
	for (int i = 0; i < 40; i++) {
		struct ir_from_core *out = ir_from_core_new(IR_FROM_CORE_SEND);

		out->conn = m->conn;
		out->u.send.size_bytes = 1024 * 1024;
		out->u.send.data = talloc_zero_size(out, 1024 * 1024);
		order(f, out);
	}
	expect(f, IR_TO_CORE_CLOSED, m->conn);
	talloc_free(m);
	close(fd);
}

#define WITH_PEERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_PEERS(test_record_in_pieces_and_answer),
	    WITH_PEERS(test_bad_record_closes),
	    WITH_PEERS(test_slow_core_loses_nothing),
	    WITH_PEERS(test_connect_and_close),
	    WITH_PEERS(test_connect_refused),
	    WITH_PEERS(test_unsent_bytes_are_bounded),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
