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
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "io/listen.h"
#include "io/peers/peers.h"
#include "link/codec.h"

#define RING_SLOTS 4
#define MANY 500
#define PEERS 8
/* Little enough that what a peer does not read waits in the process. */
#define SOCKET_BYTES 4096
#define PIECE_BYTES (256 * 1024)
#define BOUND_BYTES (1024 * 1024)
/* What a connection holds beside its messages. */
#define STRUCT_BYTES 4096

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_memory memory;
	struct ir_peers *peers;
	pthread_t thread;
	bool joined;
	uint16_t port;
	struct ir_log *log;
	FILE *log_file;
};

static int
start(void **state, uint64_t bound_bytes)
{
	const struct ir_endpoint any = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);
	int fd = ir_listen(&any, false, &f->port);
	int bytes = SOCKET_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	ir_memory_init(&f->memory, 0);
	if (bound_bytes != 0)
		f->memory.bound_bytes[IR_MEMORY_PEERS] = bound_bytes;
	f->log_file = tmpfile();
	f->log = ir_log_new(f, fileno(f->log_file), "h1", IR_LEVEL_WARNING);
	f->core = ir_wakeup_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, f->log, RING_SLOTS);
	f->peers = ir_peers_new(
	    f->core, f->channel, &f->memory, IR_MAX_PEER_CONNECTIONS, fd);
	*state = f;
	return pthread_create(&f->thread, NULL, ir_peers_run, f->peers);
}

static int
set_up(void **state)
{
	return start(state, 0);
}

static int
set_up_small(void **state)
{
	return start(state, BOUND_BYTES);
}

static void
order(struct fixture *f, struct ir_from_core *m)
{
	while (!ir_ring_push(f->channel->from_core, m))
		sched_yield();
}

/* From here on the thread's things may be looked at. */
static void
join(struct fixture *f)
{
	if (f->joined)
		return;
	order(f, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f->thread, NULL);
	f->joined = true;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	uint64_t left_bytes;

	join(f);
	talloc_free(f->peers);
	left_bytes = ir_memory_held(&f->memory, IR_MEMORY_PEERS);
	talloc_free(f->core);
	fclose(f->log_file);
	talloc_free(f);
	return left_bytes == 0 ? 0 : -1;
}

static struct ir_to_core *
next(struct fixture *f)
{
	struct pollfd p = {.fd = ir_wakeup_fd(f->core), .events = POLLIN};
	struct ir_to_core *m;

	while ((m = ir_ring_pop(f->channel->to_core)) == NULL) {
		ir_wakeup_arm(f->core);
		if (ir_ring_empty(f->channel->to_core))
			poll(&p, 1, -1);
		ir_wakeup_disarm(f->core);
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
	struct ir_from_core *out = ir_from_core_new(IR_FROM_CORE_PEER_SEND);
	uint8_t *data, back[128];
	size_t size = record(out, 7, &data);
	int fd = dial(f->port);
	struct ir_to_core *m;

	for (size_t i = 0; i < size; i++)
		assert_int_equal(send(fd, data + i, 1, 0), 1);
	m = next(f);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_MESSAGE);
	assert_int_equal(m->conn % 2, 1);
	assert_int_equal(m->xid, 7);
	assert_int_equal(m->u.msg.kind, IR_MSG_HANDOVER_REPLY);
	out->conn = m->conn;
	out->u.send.data = data;
	out->u.send.size_bytes = size;
	order(f, out);
	assert_int_equal(recv(fd, back, size, MSG_WAITALL), size);
	close(fd);
	expect(f, IR_TO_CORE_PEER_CLOSED, m->conn);
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
	expect(f, IR_TO_CORE_PEER_CLOSED, 1);
	assert_int_equal(
	    __atomic_load_n(
		&f->channel->counters.value[IR_COUNTER_MESSAGES_REJECTED],
		__ATOMIC_RELAXED),
	    1);
	close(fd);
	fd = dial(f->port);
	assert_int_equal(send(fd, fragment, 4, 0), 4);
	assert_int_equal(recv(fd, &byte, 1, 0), 0);
	expect(f, IR_TO_CORE_PEER_CLOSED, 3);
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

		assert_int_equal(m->kind, IR_TO_CORE_PEER_MESSAGE);
		assert_int_equal(m->xid, i);
		talloc_free(m);
	}
	close(fd);
	expect(f, IR_TO_CORE_PEER_CLOSED, 1);
	talloc_free(mem);
}

static void
order_connect(struct fixture *f, uint32_t conn, uint16_t port)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_PEER_CONNECT);

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
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_PEER_CLOSE);

	order_connect(f, 2, f->port);
	expect(f, IR_TO_CORE_PEER_CONNECTED, 2);
	m->conn = 2;
	order(f, m);
	expect(f, IR_TO_CORE_PEER_CLOSED, 2);
	expect(f, IR_TO_CORE_PEER_CLOSED, 1);
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
	expect(*state, IR_TO_CORE_PEER_CLOSED, 2);
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
		struct ir_from_core *out =
		    ir_from_core_new(IR_FROM_CORE_PEER_SEND);

		out->conn = m->conn;
		out->u.send.size_bytes = 1024 * 1024;
		out->u.send.data = talloc_zero_size(out, 1024 * 1024);
		order(f, out);
	}
	expect(f, IR_TO_CORE_PEER_CLOSED, m->conn);
	talloc_free(m);
	close(fd);
}

static void
send_order(struct fixture *f, uint32_t conn, size_t size_bytes)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_PEER_SEND);

	m->conn = conn;
	m->u.send.size_bytes = size_bytes;
	m->u.send.data = talloc_zero_size(m, size_bytes);
	order(f, m);
}

/* Its record was taken: the connection is known by its number. */
static int
dial_and_greet(struct fixture *f, uint32_t number)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_port = htons(f->port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int bytes = SOCKET_BYTES;
	uint8_t *data;
	size_t size = record(NULL, 1, &data);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(send(fd, data, size, 0), size);
	talloc_free(data);
	expect(f, IR_TO_CORE_PEER_MESSAGE, number);
	return fd;
}

static void
close_all(const int *fds, size_t count)
{
	for (size_t i = 0; i < count; i++)
		close(fds[i]);
}

/* Lines of that reason. */
static size_t
logged(const struct fixture *f, const char *reason)
{
	char line[1024];
	size_t n = 0;

	rewind(f->log_file);
	while (fgets(line, sizeof(line), f->log_file) != NULL)
		n += strstr(line, "link-lost") != NULL &&
		     strstr(line, reason) != NULL;
	return n;
}

static void
test_idle_connections_keep_no_read_buffer(void **state)
{
	struct fixture *f = *state;
	int fds[PEERS];

	for (uint32_t i = 0; i < PEERS; i++)
		fds[i] = dial_and_greet(f, 2 * i + 1);
	join(f);
	assert_in_range(talloc_total_size(f->peers), 0, PEERS * STRUCT_BYTES);
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_PEERS), 0);
	close_all(fds, PEERS);
}

static void
test_peers_that_do_not_read_stay_within_the_bound(void **state)
{
	struct fixture *f = *state;
	int fds[PEERS];

	for (uint32_t i = 0; i < PEERS; i++)
		fds[i] = dial_and_greet(f, 2 * i + 1);
	for (uint32_t i = 0; i < 2 * PEERS; i++)
		send_order(f, 2 * (i % PEERS) + 1, PIECE_BYTES);
	join(f);
	assert_in_range(
	    talloc_total_size(f->peers), 1, BOUND_BYTES + PEERS * STRUCT_BYTES);
	assert_in_range(
	    ir_memory_held(&f->memory, IR_MEMORY_PEERS), 1, BOUND_BYTES);
	close_all(fds, PEERS);
}

/* Unsent: 3 pieces of the first, 2 of the second, 4 are the bound. */
static void
test_fullest_connection_is_closed_and_others_kept(void **state)
{
	static uint8_t all[2 * PIECE_BYTES];
	struct fixture *f = *state;
	int fds[2] = {dial_and_greet(f, 1), dial_and_greet(f, 3)};
	struct ir_to_core *m;

	for (int i = 0; i < 3; i++)
		send_order(f, 1, PIECE_BYTES);
	for (int i = 0; i < 2; i++)
		send_order(f, 3, PIECE_BYTES);
	assert_int_equal(
	    recv(fds[1], all, sizeof(all), MSG_WAITALL), sizeof(all));
	join(f);
	m = ir_ring_pop(f->channel->to_core);
	assert_non_null(m);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_CLOSED);
	assert_int_equal(m->conn, 1);
	talloc_free(m);
	assert_true(ir_ring_empty(f->channel->to_core));
	assert_int_equal(logged(f, "memory"), 1);
	close_all(fds, 2);
}

/* The listener's queue is full: a connection to it stays without an answer. */
static int
full_listener(int *filling, uint16_t *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&a, size), 0);
	assert_int_equal(listen(fd, 0), 0);
	getsockname(fd, (struct sockaddr *)&a, &size);
	*port = ntohs(a.sin_port);
	*filling = dial(*port);
	return fd;
}

static void
test_messages_behind_a_connect_are_bounded(void **state)
{
	struct fixture *f = *state;
	uint16_t port;
	int fds[2];
	struct ir_to_core *m;

	fds[0] = full_listener(&fds[1], &port);
	order_connect(f, 2, port);
	for (int i = 0; i < PEERS; i++)
		send_order(f, 2, PIECE_BYTES);
	join(f);
	m = ir_ring_pop(f->channel->to_core);
	assert_non_null(m);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_CLOSED);
	assert_int_equal(m->conn, 2);
	talloc_free(m);
	close_all(fds, 2);
}

/* Records whose rest does not come: three quarters of a piece of each. */
static void
test_records_in_part_stay_within_the_bound(void **state)
{
	static uint8_t part[PIECE_BYTES * 3 / 4] = {0x80, 0x10, 0, 0};
	struct fixture *f = *state;
	int fds[PEERS];
	struct ir_to_core *m;

	for (uint32_t i = 0; i < PEERS; i++) {
		fds[i] = dial(f->port);
		assert_int_equal(
		    send(fds[i], part, sizeof(part), 0), sizeof(part));
	}
	m = next(f);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_CLOSED);
	talloc_free(m);
	join(f);
	assert_in_range(logged(f, "memory"), 1, PEERS);
	assert_in_range(
	    ir_memory_held(&f->memory, IR_MEMORY_PEERS), 1, BOUND_BYTES);
	close_all(fds, PEERS);
}

/* A socket that is closed with bytes unread resets its connection. */
static int
reset_count(const int *fds, int count)
{
	uint8_t byte;
	int n = 0;

	for (int i = 0; i < count; i++)
		n += recv(fds[i], &byte, 1, 0) < 0;
	return n;
}

static void
test_full_ring_leaves_records_of_all_in_their_sockets(void **state)
{
	struct fixture *f = *state;
	uint8_t *data, byte;
	size_t size = record(NULL, 1, &data);
	int fds[PEERS];

	for (uint32_t i = 0; i < PEERS; i++)
		fds[i] = dial_and_greet(f, 2 * i + 1);
	for (uint32_t i = 0; i < PEERS; i++)
		assert_int_equal(send(fds[i], data, size, 0), size);
	/* The thread has had its turn with each. */
	for (uint32_t i = 0; i < PEERS; i++) {
		send_order(f, 2 * i + 1, 1);
		assert_int_equal(recv(fds[i], &byte, 1, 0), 1);
	}
	join(f);
	TALLOC_FREE(f->peers);
	assert_in_range(reset_count(fds, PEERS), PEERS - RING_SLOTS, PEERS);
	talloc_free(data);
	close_all(fds, PEERS);
}

#define WITH_PEERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)
#define WITH_SMALL(t) \
	cmocka_unit_test_setup_teardown(t, set_up_small, tear_down)

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
	    WITH_PEERS(test_idle_connections_keep_no_read_buffer),
	    WITH_SMALL(test_peers_that_do_not_read_stay_within_the_bound),
	    WITH_SMALL(test_fullest_connection_is_closed_and_others_kept),
	    WITH_SMALL(test_messages_behind_a_connect_are_bounded),
	    WITH_SMALL(test_records_in_part_stay_within_the_bound),
	    WITH_PEERS(test_full_ring_leaves_records_of_all_in_their_sockets),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
