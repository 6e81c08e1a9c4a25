/*
 * Connections to peers: records in both directions, split in any way, invalid
 * ones, a core that takes them slowly, and bounds on memory. The test acts as
 * the core.
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
#define RECORD_COUNT 500
#define PEER_COUNT 8
/* Small, so that what a peer does not read is queued in the process. */
#define SOCKET_BUFFER_BYTES 4096
#define MESSAGE_BYTES (256 * 1024)
/* Far more than the sockets take. */
#define VIEW_PARTS 60
#define BOUND_BYTES (1024 * 1024)
/* Memory of a connection without its messages. */
#define CONN_OVERHEAD_BYTES 4096

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
start_thread(void **state, uint64_t bound_bytes)
{
	const struct ir_endpoint any = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);
	int fd = ir_listen(&any, false, &f->port);
	int bytes = SOCKET_BUFFER_BYTES;

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
	return start_thread(state, 0);
}

static int
set_up_with_bound(void **state)
{
	return start_thread(state, BOUND_BYTES);
}

static void
push_message(struct fixture *f, struct ir_from_core *m)
{
	while (!ir_ring_push(f->channel->from_core, m))
		sched_yield();
}

/* Stops the thread; then the test may read its memory. */
static void
stop_thread(struct fixture *f)
{
	if (f->joined)
		return;
	push_message(f, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f->thread, NULL);
	f->joined = true;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	uint64_t left_bytes;

	stop_thread(f);
	talloc_free(f->peers);
	left_bytes = ir_memory_held(&f->memory, IR_MEMORY_PEERS) +
		     ir_memory_sockets_held(&f->memory);
	talloc_free(f->core);
	fclose(f->log_file);
	talloc_free(f);
	return left_bytes == 0 ? 0 : -1;
}

/* NULL: none. When bytes of large records move depends on the scheduler. */
static struct ir_to_core *
pop_message(struct fixture *f)
{
	struct ir_to_core *m;

	while ((m = ir_ring_pop(f->channel->to_core)) != NULL &&
	       m->kind == IR_TO_CORE_PEER_PROGRESS)
		talloc_free(m);
	return m;
}

static struct ir_to_core *
next_message(struct fixture *f)
{
	struct pollfd p = {.fd = ir_wakeup_fd(f->core), .events = POLLIN};
	struct ir_to_core *m;

	while ((m = pop_message(f)) == NULL) {
		ir_wakeup_arm(f->core);
		if (ir_ring_empty(f->channel->to_core))
			poll(&p, 1, -1);
		ir_wakeup_disarm(f->core);
	}
	return m;
}

static void
expect_message(struct fixture *f, enum ir_to_core_kind kind, uint32_t conn)
{
	struct ir_to_core *m = next_message(f);

	assert_int_equal(m->kind, kind);
	assert_int_equal(m->conn, conn);
	talloc_free(m);
}

static int
connect_local(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

static size_t
encode_record(TALLOC_CTX *mem, uint32_t xid, uint8_t **data)
{
	struct ir_msg m = {.kind = IR_MSG_HANDOVER_REPLY};

	return ir_codec_encode(mem, xid, &m, data);
}

static void
test_record_sent_byte_by_byte_and_answer(void **state)
{
	struct fixture *f = *state;
	struct ir_from_core *out = ir_from_core_new(IR_FROM_CORE_PEER_SEND);
	uint8_t *data, back[128];
	size_t size = encode_record(out, 7, &data);
	int fd = connect_local(f->port);
	struct ir_to_core *m;

	for (size_t i = 0; i < size; i++)
		assert_int_equal(send(fd, data + i, 1, 0), 1);
	m = next_message(f);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_MESSAGE);
	assert_int_equal(m->conn % 2, 1);
	assert_int_equal(m->xid, 7);
	assert_int_equal(m->u.msg.kind, IR_MSG_HANDOVER_REPLY);
	out->conn = m->conn;
	out->u.send.data = data;
	out->u.send.size_bytes = size;
	push_message(f, out);
	assert_int_equal(recv(fd, back, size, MSG_WAITALL), size);
	close(fd);
	expect_message(f, IR_TO_CORE_PEER_CLOSED, m->conn);
	talloc_free(m);
}

static void
test_invalid_record_closes_the_connection(void **state)
{
	struct fixture *f = *state;
	const uint8_t bad[] = {0x80, 0, 0, 8, 0, 0, 0, 1, 0, 0, 0, 9};
	const uint8_t fragment[] = {0, 0, 0, 8};
	uint8_t byte;
	int fd = connect_local(f->port);

	assert_int_equal(send(fd, bad, sizeof(bad), 0), sizeof(bad));
	assert_int_equal(recv(fd, &byte, 1, 0), 0);
	expect_message(f, IR_TO_CORE_PEER_CLOSED, 1);
	assert_int_equal(
	    __atomic_load_n(
		&f->channel->counters.value[IR_COUNTER_MESSAGES_REJECTED],
		__ATOMIC_RELAXED),
	    1);
	close(fd);
	fd = connect_local(f->port);
	assert_int_equal(send(fd, fragment, 4, 0), 4);
	assert_int_equal(recv(fd, &byte, 1, 0), 0);
	expect_message(f, IR_TO_CORE_PEER_CLOSED, 3);
	close(fd);
}

/* More messages than the ring holds: none is lost or reordered. */
static void
test_slow_core_loses_no_message(void **state)
{
	struct fixture *f = *state;
	TALLOC_CTX *mem = talloc_new(NULL);
	int fd = connect_local(f->port);

	for (uint32_t i = 1; i <= RECORD_COUNT; i++) {
		uint8_t *data;
		size_t size = encode_record(mem, i, &data);

		assert_int_equal(send(fd, data, size, 0), size);
	}
	for (uint32_t i = 1; i <= RECORD_COUNT; i++) {
		struct ir_to_core *m = next_message(f);

		assert_int_equal(m->kind, IR_TO_CORE_PEER_MESSAGE);
		assert_int_equal(m->xid, i);
		talloc_free(m);
	}
	close(fd);
	expect_message(f, IR_TO_CORE_PEER_CLOSED, 1);
	talloc_free(mem);
}

static void
push_connect(struct fixture *f, uint32_t conn, uint16_t port)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_PEER_CONNECT);

	m->conn = conn;
	m->u.connect.address = "127.0.0.1";
	m->u.connect.port = port;
	push_message(f, m);
}

/* The thread connects to itself: one end is even, the other odd. */
static void
test_connect_and_close(void **state)
{
	struct fixture *f = *state;
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_PEER_CLOSE);

	push_connect(f, 2, f->port);
	expect_message(f, IR_TO_CORE_PEER_CONNECTED, 2);
	m->conn = 2;
	push_message(f, m);
	expect_message(f, IR_TO_CORE_PEER_CLOSED, 2);
	expect_message(f, IR_TO_CORE_PEER_CLOSED, 1);
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
	push_connect(*state, 2, ntohs(a.sin_port));
	expect_message(*state, IR_TO_CORE_PEER_CLOSED, 2);
	close(fd);
}

/* Closes the connection of a peer that reads nothing, to bound memory. */
static void
test_unsent_bytes_are_bounded(void **state)
{
	struct fixture *f = *state;
	int fd = connect_local(f->port);
	int receive_buffer_bytes = 65536;
	uint8_t *data;
	size_t size = encode_record(NULL, 1, &data);
	struct ir_to_core *m;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
	    sizeof(receive_buffer_bytes));
	assert_int_equal(send(fd, data, size, 0), size);
	talloc_free(data);
	m = next_message(f);
	for (int i = 0; i < 40; i++) {
		struct ir_from_core *out =
		    ir_from_core_new(IR_FROM_CORE_PEER_SEND);

		out->conn = m->conn;
		out->u.send.size_bytes = 1024 * 1024;
		out->u.send.data = talloc_zero_size(out, 1024 * 1024);
		push_message(f, out);
	}
	expect_message(f, IR_TO_CORE_PEER_CLOSED, m->conn);
	talloc_free(m);
	close(fd);
}

static void
push_send(struct fixture *f, uint32_t conn, size_t size_bytes)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_PEER_SEND);

	m->conn = conn;
	m->u.send.size_bytes = size_bytes;
	m->u.send.data = talloc_zero_size(m, size_bytes);
	push_message(f, m);
}

/* Returns when the core has received a record, so number is assigned. */
static int
connect_and_send_record(struct fixture *f, uint32_t number)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_port = htons(f->port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int bytes = SOCKET_BUFFER_BYTES;
	uint8_t *data;
	size_t size = encode_record(NULL, 1, &data);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(send(fd, data, size, 0), size);
	talloc_free(data);
	expect_message(f, IR_TO_CORE_PEER_MESSAGE, number);
	return fd;
}

static void
close_all(const int *fds, size_t count)
{
	for (size_t i = 0; i < count; i++)
		close(fds[i]);
}

/* Counts the lines with this reason. */
static size_t
logged_link_losses(const struct fixture *f, const char *reason)
{
	char line[1024];
	size_t n = 0;

	rewind(f->log_file);
	while (fgets(line, sizeof(line), f->log_file) != NULL)
		n += strstr(line, "link-lost") != NULL &&
		     strstr(line, reason) != NULL;
	return n;
}

static bool
pop_progress(struct fixture *f, uint32_t conn)
{
	struct ir_to_core *m = ir_ring_pop(f->channel->to_core);
	bool found =
	    m != NULL && m->kind == IR_TO_CORE_PEER_PROGRESS && m->conn == conn;

	talloc_free(m);
	return found;
}

static void
test_bytes_of_an_incomplete_record_are_reported(void **state)
{
	const uint8_t mark[] = {0x80, 0x70, 0, 0};
	struct fixture *f = *state;
	int fd = connect_local(f->port);

	assert_int_equal(send(fd, mark, sizeof(mark), 0), sizeof(mark));
	while (!pop_progress(f, 1))
		assert_int_equal(send(fd, mark, 1, 0), 1);
	close(fd);
}

static void
test_sent_bytes_of_a_queued_record_are_reported(void **state)
{
	struct fixture *f = *state;
	int fd = connect_and_send_record(f, 1);
	uint8_t byte;

	push_send(f, 1, 16 * MESSAGE_BYTES);
	while (!pop_progress(f, 1))
		assert_int_equal(recv(fd, &byte, 1, 0), 1);
	close(fd);
}

static void
push_record(struct fixture *f, uint32_t conn, uint32_t xid, struct ir_msg *m)
{
	struct ir_from_core *out = ir_from_core_new(IR_FROM_CORE_PEER_SEND);

	out->conn = conn;
	out->u.send.size_bytes =
	    ir_codec_encode(out, xid, m, &out->u.send.data);
	assert_int_not_equal(out->u.send.size_bytes, 0);
	push_message(f, out);
}

/* A VIEW whose one section has a text of this many bytes. */
static void
push_view(struct fixture *f, uint32_t conn, uint32_t xid, size_t text_bytes)
{
	char name[] = "routes";
	struct ir_section s = {name, 1, 1, talloc_zero_size(NULL, text_bytes)};
	struct ir_msg m = {.kind = IR_MSG_VIEW};

	memset(s.text, 'x', text_bytes - 1);
	m.ir_msg_u.view.sections.sections_len = 1;
	m.ir_msg_u.view.sections.sections_val = &s;
	push_record(f, conn, xid, &m);
	talloc_free(s.text);
}

static void
push_answer(struct fixture *f, uint32_t conn, uint32_t xid, size_t body_bytes)
{
	struct ir_msg m = {.kind = IR_MSG_ANSWER};

	m.ir_msg_u.answer.body.body_len = (u_int)body_bytes;
	m.ir_msg_u.answer.body.body_val = talloc_zero_size(NULL, body_bytes);
	push_record(f, conn, xid, &m);
	talloc_free(m.ir_msg_u.answer.body.body_val);
}

/* The transaction id of the next record on the socket; adds its size. */
static uint32_t
receive_record(int fd, size_t *sum_bytes)
{
	uint32_t head[2];
	size_t left;
	uint8_t *rest;

	assert_int_equal(
	    recv(fd, head, sizeof(head), MSG_WAITALL), sizeof(head));
	left = (ntohl(head[0]) & 0x7fffffff) - sizeof(head[1]);
	rest = talloc_size(NULL, left);
	assert_int_equal(recv(fd, rest, left, MSG_WAITALL), left);
	talloc_free(rest);
	*sum_bytes += sizeof(head) + left;
	return ntohl(head[1]);
}

static uint32_t
receive_xid(int fd)
{
	size_t bytes = 0;

	return receive_record(fd, &bytes);
}

/* Returns when the thread has queued all that was pushed before. */
static void
wait_for_thread(struct fixture *f)
{
	int fd = connect_local(f->port);
	uint8_t *data;
	size_t size = encode_record(NULL, 1, &data);

	assert_int_equal(send(fd, data, size, 0), size);
	talloc_free(data);
	expect_message(f, IR_TO_CORE_PEER_MESSAGE, 3);
	push_send(f, 3, 1);
	assert_int_equal(recv(fd, &size, 1, 0), 1);
	close(fd);
}

static void
test_answers_do_not_wait_for_views(void **state)
{
	struct fixture *f = *state;
	int fd = connect_and_send_record(f, 1);

	push_answer(f, 1, 10, 2 * MESSAGE_BYTES);
	push_view(f, 1, 11, MESSAGE_BYTES);
	push_view(f, 1, 12, MESSAGE_BYTES);
	push_answer(f, 1, 13, 1);
	push_view(f, 1, 14, 100);
	wait_for_thread(f);
	assert_int_equal(receive_xid(fd), 10);
	assert_int_equal(receive_xid(fd), 13);
	assert_int_equal(receive_xid(fd), 14);
	assert_int_equal(receive_xid(fd), 11);
	assert_int_equal(receive_xid(fd), 12);
	close(fd);
}

static void
test_views_are_sent_between_many_answers(void **state)
{
	struct fixture *f = *state;
	int fd = connect_and_send_record(f, 1);
	int first_view = 0;

	push_answer(f, 1, 10, 16 * MESSAGE_BYTES);
	push_view(f, 1, 11, MESSAGE_BYTES);
	for (uint32_t i = 0; i < 8; i++)
		push_answer(f, 1, 20 + i, MESSAGE_BYTES);
	wait_for_thread(f);
	for (int i = 0; i < 10; i++) {
		if (receive_xid(fd) == 11)
			first_view = i;
	}
	/* The first answer is large enough. */
	assert_int_equal(first_view, 1);
	close(fd);
}

static void
send_message(int fd, struct ir_msg *m)
{
	uint8_t *data;
	size_t size = ir_codec_encode(NULL, 1, m, &data);

	assert_int_equal(send(fd, data, size, 0), size);
	talloc_free(data);
}

static void
test_answers_go_between_the_parts_of_a_view(void **state)
{
	struct ir_msg take_parts = {.kind = IR_MSG_TAKE_PARTS};
	struct fixture *f = *state;
	int fd = connect_and_send_record(f, 1);
	uint8_t *data;
	size_t bytes = 0, size = encode_record(NULL, 1, &data);

	send_message(fd, &take_parts);
	assert_int_equal(send(fd, data, size, 0), size);
	talloc_free(data);
	expect_message(f, IR_TO_CORE_PEER_MESSAGE, 1);
	push_view(f, 1, 11, VIEW_PARTS * IR_MAX_PART_BYTES);
	push_answer(f, 1, 13, 1);
	wait_for_thread(f);
	while (receive_record(fd, &bytes) != 13)
		;
	assert_in_range(bytes, 1, VIEW_PARTS * IR_MAX_PART_BYTES / 2);
	close(fd);
}

/* The thread connects to itself; the accepted end sends the view. */
static void
test_view_in_parts_arrives_whole(void **state)
{
	struct ir_msg take_parts = {.kind = IR_MSG_TAKE_PARTS};
	struct ir_msg handover_reply = {.kind = IR_MSG_HANDOVER_REPLY};
	struct fixture *f = *state;
	struct ir_to_core *m;

	push_connect(f, 2, f->port);
	expect_message(f, IR_TO_CORE_PEER_CONNECTED, 2);
	push_record(f, 2, 0, &take_parts);
	push_record(f, 2, 1, &handover_reply);
	expect_message(f, IR_TO_CORE_PEER_MESSAGE, 1);
	for (uint32_t xid = 11; xid < 14; xid++)
		push_view(f, 1, xid, MESSAGE_BYTES);
	for (uint32_t xid = 11; xid < 14; xid++) {
		m = next_message(f);
		assert_int_equal(m->kind, IR_TO_CORE_PEER_MESSAGE);
		assert_int_equal(m->conn, 2);
		assert_int_equal(m->xid, xid);
		assert_int_equal(m->u.msg.kind, IR_MSG_VIEW);
		assert_int_equal(
		    strlen(m->u.msg.ir_msg_u.view.sections.sections_val->text),
		    MESSAGE_BYTES - 1);
		talloc_free(m);
	}
}

static void
test_peer_is_told_to_send_parts(void **state)
{
	struct ir_msg reply = {.kind = IR_MSG_HELLO_REPLY};
	struct fixture *f = *state;
	int fd = connect_local(f->port);
	uint32_t head[2], kind;
	uint8_t rest[64];
	size_t left;

	reply.ir_msg_u.hello_reply.host = talloc_strdup(NULL, "h2");
	reply.ir_msg_u.hello_reply.accepted = IR_HELLO_ACCEPTED;
	send_message(fd, &reply);
	reply.ir_msg_u.hello_reply.accepted |= IR_HELLO_SENDS_PARTS;
	send_message(fd, &reply);
	assert_int_equal(
	    recv(fd, head, sizeof(head), MSG_WAITALL), sizeof(head));
	left = (ntohl(head[0]) & 0x7fffffff) - sizeof(head[1]);
	assert_in_range(left, sizeof(kind), sizeof(rest));
	assert_int_equal(recv(fd, rest, left, MSG_WAITALL), left);
	memcpy(&kind, rest + left - sizeof(kind), sizeof(kind));
	assert_int_equal(ntohl(kind), IR_MSG_TAKE_PARTS);
	talloc_free(reply.ir_msg_u.hello_reply.host);
	close(fd);
}

static void
test_parts_of_two_records_close_the_connection(void **state)
{
	struct ir_msg m = {.kind = IR_MSG_PART};
	struct fixture *f = *state;
	int fd = connect_local(f->port);
	char data[] = "abc";

	m.ir_msg_u.part.data.data_len = 3;
	m.ir_msg_u.part.data.data_val = data;
	m.ir_msg_u.part.record_bytes = 100;
	send_message(fd, &m);
	m.ir_msg_u.part.record_bytes = 200;
	send_message(fd, &m);
	expect_message(f, IR_TO_CORE_PEER_CLOSED, 1);
	close(fd);
}

static void
test_idle_connections_keep_no_read_buffer(void **state)
{
	struct fixture *f = *state;
	int fds[PEER_COUNT];

	for (uint32_t i = 0; i < PEER_COUNT; i++)
		fds[i] = connect_and_send_record(f, 2 * i + 1);
	stop_thread(f);
	assert_in_range(
	    talloc_total_size(f->peers), 0, PEER_COUNT * CONN_OVERHEAD_BYTES);
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_PEERS), 0);
	close_all(fds, PEER_COUNT);
}

static void
test_peers_that_do_not_read_stay_within_the_bound(void **state)
{
	struct fixture *f = *state;
	int fds[PEER_COUNT];

	for (uint32_t i = 0; i < PEER_COUNT; i++)
		fds[i] = connect_and_send_record(f, 2 * i + 1);
	for (uint32_t i = 0; i < 2 * PEER_COUNT; i++)
		push_send(f, 2 * (i % PEER_COUNT) + 1, MESSAGE_BYTES);
	stop_thread(f);
	assert_in_range(talloc_total_size(f->peers), 1,
	    BOUND_BYTES + PEER_COUNT * CONN_OVERHEAD_BYTES);
	assert_in_range(
	    ir_memory_held(&f->memory, IR_MEMORY_PEERS), 1, BOUND_BYTES);
	close_all(fds, PEER_COUNT);
}

/* 3 messages to the first and 2 to the second, with a bound of 4. */
static void
test_only_connection_with_most_memory_is_closed(void **state)
{
	static uint8_t all[2 * MESSAGE_BYTES];
	struct fixture *f = *state;
	int fds[2] = {
	    connect_and_send_record(f, 1), connect_and_send_record(f, 3)};
	struct ir_to_core *m;

	for (int i = 0; i < 3; i++)
		push_send(f, 1, MESSAGE_BYTES);
	for (int i = 0; i < 2; i++)
		push_send(f, 3, MESSAGE_BYTES);
	assert_int_equal(
	    recv(fds[1], all, sizeof(all), MSG_WAITALL), sizeof(all));
	stop_thread(f);
	m = pop_message(f);
	assert_non_null(m);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_CLOSED);
	assert_int_equal(m->conn, 1);
	talloc_free(m);
	assert_null(pop_message(f));
	assert_int_equal(logged_link_losses(f, "memory"), 1);
	close_all(fds, 2);
}

/* 3 views to the first and 2 answers to the second, with a bound of 4. */
static void
test_views_are_dropped_before_a_connection_is_closed(void **state)
{
	struct fixture *f = *state;
	int fds[2] = {
	    connect_and_send_record(f, 1), connect_and_send_record(f, 3)};

	for (uint32_t xid = 11; xid < 14; xid++)
		push_view(f, 1, xid, MESSAGE_BYTES);
	push_answer(f, 3, 21, MESSAGE_BYTES);
	push_answer(f, 3, 22, MESSAGE_BYTES);
	push_answer(f, 1, 14, 1);
	assert_int_equal(receive_xid(fds[1]), 21);
	assert_int_equal(receive_xid(fds[1]), 22);
	/* The first view was begun, so it is sent whole. */
	assert_int_equal(receive_xid(fds[0]), 11);
	assert_int_equal(receive_xid(fds[0]), 14);
	stop_thread(f);
	assert_null(pop_message(f));
	assert_int_equal(logged_link_losses(f, "memory"), 0);
	close_all(fds, 2);
}

/* Connections to a listener with a full backlog stay in progress. */
static int
open_full_listener(int *filling, uint16_t *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&a, size), 0);
	assert_int_equal(listen(fd, 0), 0);
	getsockname(fd, (struct sockaddr *)&a, &size);
	*port = ntohs(a.sin_port);
	*filling = connect_local(*port);
	return fd;
}

static void
test_messages_queued_before_the_connect_are_bounded(void **state)
{
	struct fixture *f = *state;
	uint16_t port;
	int fds[2];
	struct ir_to_core *m;

	fds[0] = open_full_listener(&fds[1], &port);
	push_connect(f, 2, port);
	for (int i = 0; i < PEER_COUNT; i++)
		push_send(f, 2, MESSAGE_BYTES);
	stop_thread(f);
	m = pop_message(f);
	assert_non_null(m);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_CLOSED);
	assert_int_equal(m->conn, 2);
	talloc_free(m);
	close_all(fds, 2);
}

/* Each peer sends 3/4 of MESSAGE_BYTES of a record of 1 MiB. */
static void
test_incomplete_records_stay_within_the_bound(void **state)
{
	static uint8_t part[MESSAGE_BYTES * 3 / 4] = {0x80, 0x10, 0, 0};
	struct fixture *f = *state;
	int fds[PEER_COUNT];
	struct ir_to_core *m;

	for (uint32_t i = 0; i < PEER_COUNT; i++) {
		fds[i] = connect_local(f->port);
		assert_int_equal(
		    send(fds[i], part, sizeof(part), 0), sizeof(part));
	}
	m = next_message(f);
	assert_int_equal(m->kind, IR_TO_CORE_PEER_CLOSED);
	talloc_free(m);
	stop_thread(f);
	assert_in_range(logged_link_losses(f, "memory"), 1, PEER_COUNT);
	assert_in_range(
	    ir_memory_held(&f->memory, IR_MEMORY_PEERS), 1, BOUND_BYTES);
	close_all(fds, PEER_COUNT);
}

/* Closing a socket with unread bytes resets its connection. */
static int
count_resets(const int *fds, int count)
{
	uint8_t byte;
	int n = 0;

	for (int i = 0; i < count; i++)
		n += recv(fds[i], &byte, 1, 0) < 0;
	return n;
}

static void
test_full_ring_leaves_records_in_the_sockets(void **state)
{
	struct fixture *f = *state;
	uint8_t *data, byte;
	size_t size = encode_record(NULL, 1, &data);
	int fds[PEER_COUNT];

	for (uint32_t i = 0; i < PEER_COUNT; i++)
		fds[i] = connect_and_send_record(f, 2 * i + 1);
	for (uint32_t i = 0; i < PEER_COUNT; i++)
		assert_int_equal(send(fds[i], data, size, 0), size);
	/* Wait until the thread has handled each connection. */
	for (uint32_t i = 0; i < PEER_COUNT; i++) {
		push_send(f, 2 * i + 1, 1);
		assert_int_equal(recv(fds[i], &byte, 1, 0), 1);
	}
	stop_thread(f);
	TALLOC_FREE(f->peers);
	assert_in_range(
	    count_resets(fds, PEER_COUNT), PEER_COUNT - RING_SLOTS, PEER_COUNT);
	talloc_free(data);
	close_all(fds, PEER_COUNT);
}

#define WITH_PEERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)
#define WITH_BOUND(t) \
	cmocka_unit_test_setup_teardown(t, set_up_with_bound, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_PEERS(test_record_sent_byte_by_byte_and_answer),
	    WITH_PEERS(test_invalid_record_closes_the_connection),
	    WITH_PEERS(test_slow_core_loses_no_message),
	    WITH_PEERS(test_connect_and_close),
	    WITH_PEERS(test_connect_refused),
	    WITH_PEERS(test_unsent_bytes_are_bounded),
	    WITH_PEERS(test_bytes_of_an_incomplete_record_are_reported),
	    WITH_PEERS(test_sent_bytes_of_a_queued_record_are_reported),
	    WITH_PEERS(test_answers_do_not_wait_for_views),
	    WITH_PEERS(test_views_are_sent_between_many_answers),
	    WITH_PEERS(test_answers_go_between_the_parts_of_a_view),
	    WITH_PEERS(test_view_in_parts_arrives_whole),
	    WITH_PEERS(test_peer_is_told_to_send_parts),
	    WITH_PEERS(test_parts_of_two_records_close_the_connection),
	    WITH_PEERS(test_idle_connections_keep_no_read_buffer),
	    WITH_BOUND(test_peers_that_do_not_read_stay_within_the_bound),
	    WITH_BOUND(test_views_are_dropped_before_a_connection_is_closed),
	    WITH_BOUND(test_only_connection_with_most_memory_is_closed),
	    WITH_BOUND(test_messages_queued_before_the_connect_are_bounded),
	    WITH_BOUND(test_incomplete_records_stay_within_the_bound),
	    WITH_PEERS(test_full_ring_leaves_records_in_the_sockets),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
