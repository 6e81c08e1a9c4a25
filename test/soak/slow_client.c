/* Callers that make a node buffer bytes. */
#include <sys/socket.h>

#include <errno.h>
#include <http_parser.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "soak/slow_client.h"

#define MAX_SLOW_CLIENTS 64
#define RECEIVE_BYTES 4096 /* receive buffer of the socket, small */
#define READ_BYTES 65536
#define READS_PER_STEP 8
#define MIN_PIPELINED 4
#define PIPELINED_SPAN 20
#define UNREAD_MIN_MS 500
#define UNREAD_SPAN_MS 4000
#define BODY_BYTES 32768
#define PIECE_BYTES 1024
#define PIECE_MS 60
#define STEP_US IR_US_PER_MS
#define ECHO_BYTES 64
/* Above the longest deadline of a request, with a margin for a busy machine. */
#define DRAIN_LIMIT_US (30 * IR_US_PER_S)

struct slow_client {
	struct soak *soak;
	int fd;
	size_t host;
	uint32_t start_number;
	enum slow_client_kind kind;
	uint64_t first_id; /* ids of its requests are consecutive */
	uint32_t requested;
	uint32_t answered;
	bool last_answer; /* an answer announced the end of the connection */
	char *request;
	size_t request_bytes;
	size_t request_sent;
	int64_t next_piece_us; /* when the next piece of a slow body is due */
	int64_t read_from_us;  /* no answer is read before */
	http_parser parser;
	char echo[ECHO_BYTES + 1]; /* start of the answer's body */
	size_t echo_bytes;
	struct slow_client *prev;
	struct slow_client *next;
};

struct slow_clients {
	struct slow_client *all;
	uint32_t count;
	uint32_t sent;
	uint32_t answered;
	int64_t next_step_us;
	bool draining; /* reads without delay */
};

struct slow_clients *
slow_clients_new(struct soak *s)
{
	return talloc_zero(s, struct slow_clients);
}

uint32_t
slow_clients_sent(const struct soak *s)
{
	return s->slow_clients->sent;
}

uint32_t
slow_clients_answered(const struct soak *s)
{
	return s->slow_clients->answered;
}

static void
free_client(struct slow_clients *clients, struct slow_client *c)
{
	DL_DELETE(clients->all, c);
	clients->count--;
	close(c->fd);
	talloc_free(c);
}

static int
on_begin(http_parser *parser)
{
	struct slow_client *c = parser->data;

	c->echo_bytes = 0;
	return 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
	struct slow_client *c = parser->data;
	size_t n = ECHO_BYTES - c->echo_bytes;

	if (size < n)
		n = size;
	memcpy(c->echo + c->echo_bytes, data, n);
	c->echo_bytes += n;
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct slow_client *c = parser->data;
	uint64_t id = c->first_id + c->answered;
	char *own;

	if (parser->status_code / 100 == 1)
		return 0;
	c->echo[c->echo_bytes] = '\0';
	c->last_answer = http_should_keep_alive(parser) == 0;
	if (c->answered == c->requested) {
		soak_note_failure(c->soak,
		    "unexpected answer after that to request %" PRIu64, id - 1);
		return 0;
	}
	own = pr_test_id(procs, id);
	if (parser->status_code == 200 && strstr(c->echo, own) == NULL)
		soak_note_failure(c->soak,
		    "slow client: request %" PRIu64 " got a wrong answer", id);
	talloc_free(own);
	c->answered++;
	c->soak->slow_clients->answered++;
	return 0;
}

static const http_parser_settings callbacks = {
    .on_message_begin = on_begin,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* Returns the head of a request, under the client. */
static char *
request_text(struct slow_client *c, uint64_t id, const char *method,
    const char *path, size_t body_bytes)
{
	struct pr_request r = {.path = path, .key = procs->keys[KEY_MAIN]};
	const char *headers[PR_HEADERS];
	TALLOC_CTX *parts = talloc_new(NULL);
	const char *target = pr_build_headers(parts, procs, &r, id, headers);
	char *head = talloc_asprintf(c, "%s %s HTTP/1.1\r\n", method, target);

	/* Headers of the platform's dialect have a Host already. */
	if (!procs->platform_dialect)
		head = talloc_strdup_append(head, "Host: " PR_ADDRESS "\r\n");
	for (size_t i = 0; headers[i] != NULL; i++)
		head = talloc_asprintf_append(head, "%s\r\n", headers[i]);
	if (body_bytes > 0)
		head = talloc_asprintf_append(
		    head, "Content-Length: %zu\r\n", body_bytes);
	talloc_free(parts);
	return talloc_strdup_append(head, "\r\n");
}

static void
add_request(
    struct slow_client *c, const char *method, const char *path, size_t body)
{
	char *text =
	    request_text(c, c->first_id + c->requested, method, path, body);
	size_t n = strlen(text);

	c->request =
	    talloc_realloc(c, c->request, char, c->request_bytes + n + body);
	memcpy(c->request + c->request_bytes, text, n);
	memset(c->request + c->request_bytes + n, 'b', body);
	c->request_bytes += n + body;
	c->requested++;
	c->soak->slow_clients->sent++;
	talloc_free(text);
}

static void
prepare_requests(struct slow_client *c, int64_t now)
{
	struct soak *s = c->soak;
	uint32_t count = MIN_PIPELINED + soak_random_below(s, PIPELINED_SPAN);

	/* Reserves consecutive ids. */
	c->first_id = procs->next_id + 1;
	procs->next_id += MIN_PIPELINED + PIPELINED_SPAN;
	if (c->kind != SLOW_CLIENT_UNREAD) {
		add_request(c, "POST", "/t/charge", BODY_BYTES);
		return;
	}
	for (uint32_t i = 0; i < count; i++)
		add_request(c, "GET", i % 2 == 0 ? "/s/run" : "/t/run", 0);
	c->read_from_us =
	    now + (UNREAD_MIN_MS + soak_random_below(s, UNREAD_SPAN_MS)) *
		      IR_US_PER_MS;
}

static int
connect_to(uint16_t port, bool small_buffer)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int size = RECEIVE_BYTES;

	if (fd < 0)
		return -1;
	if (small_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Closes the oldest connection without pending requests; false if none. */
static bool
make_room(struct slow_clients *clients)
{
	struct slow_client *c;

	if (clients->count < MAX_SLOW_CLIENTS)
		return true;
	DL_FOREACH (clients->all, c) {
		if (c->answered == c->requested) {
			free_client(clients, c);
			return true;
		}
	}
	return false;
}

static void
open_client(struct soak *s, size_t host, enum slow_client_kind kind)
{
	struct slow_clients *clients = s->slow_clients;
	struct slow_client *c;
	int fd;

	if (procs->hosts[host].node.pid == 0 || !make_room(clients))
		return;
	fd = connect_to(
	    procs->hosts[host].callers_port, kind == SLOW_CLIENT_UNREAD);
	if (fd < 0)
		return;
	c = talloc_zero(clients, struct slow_client);
	c->soak = s;
	c->fd = fd;
	c->host = host;
	c->start_number = s->hosts[host].start_number;
	c->kind = kind;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	prepare_requests(c, ir_clock_now());
	DL_APPEND(clients->all, c);
	clients->count++;
}

void
slow_clients_open(
    struct soak *s, size_t host, enum slow_client_kind kind, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		open_client(s, host, kind);
}

static void
write_due(struct slow_client *c, int64_t now)
{
	size_t left = c->request_bytes - c->request_sent;
	ssize_t n;

	if (left == 0 || now < c->next_piece_us)
		return;
	if (c->kind == SLOW_CLIENT_SLOW_BODY) {
		c->next_piece_us = now + PIECE_MS * IR_US_PER_MS;
		left = left < PIECE_BYTES ? left : PIECE_BYTES;
	}
	n = send(c->fd, c->request + c->request_sent, left, MSG_NOSIGNAL);
	if (n > 0)
		c->request_sent += (size_t)n;
	else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
		c->request_sent = c->request_bytes; /* the read notices the
						       closed connection */
}

static void
note_unanswered(struct slow_client *c)
{
	/* A node may ignore requests after the last answer that it announced.
	 */
	if (c->last_answer)
		return;
	for (uint32_t i = c->answered; i < c->requested; i++)
		soak_note_closed(
		    c->soak, c->host, c->start_number, c->first_id + i, 0);
}

/* Returns false if the connection was closed or failed. */
static bool
read_due(struct slow_client *c)
{
	static char data[READ_BYTES];

	for (int i = 0; i < READS_PER_STEP; i++) {
		ssize_t n = recv(c->fd, data, sizeof(data), MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (n <= 0)
			return false;
		if (http_parser_execute(
			&c->parser, &callbacks, data, (size_t)n) != (size_t)n) {
			soak_note_failure(c->soak,
			    "answer to request %" PRIu64 " is invalid HTTP",
			    c->first_id + c->answered);
			return false;
		}
	}
	return true;
}

static void
step_client(struct slow_clients *clients, struct slow_client *c, int64_t now)
{
	write_due(c, now);
	if (now < c->read_from_us && !clients->draining)
		return;
	if (read_due(c))
		return;
	note_unanswered(c);
	free_client(clients, c);
}

void
slow_clients_step(struct soak *s)
{
	int64_t now = ir_clock_now();
	struct slow_clients *clients = s->slow_clients;
	struct slow_client *c, *next;

	if (now < clients->next_step_us)
		return;
	clients->next_step_us = now + STEP_US;
	DL_FOREACH_SAFE (clients->all, c, next) {
		step_client(clients, c, now);
	}
}

static uint32_t
unanswered(const struct slow_clients *clients)
{
	const struct slow_client *c;
	uint32_t n = 0;

	DL_FOREACH (clients->all, c) {
		n += c->requested - c->answered;
	}
	return n;
}

void
slow_clients_drain(struct soak *s)
{
	int64_t until = ir_clock_now() + DRAIN_LIMIT_US;
	struct slow_clients *clients = s->slow_clients;
	uint32_t left;

	clients->draining = true;
	while ((left = unanswered(clients)) > 0 && ir_clock_now() < until) {
		slow_clients_step(s);
		fake_fetcher_step(procs->fetcher, SOAK_STEP_MS);
	}
	if (left > 0)
		soak_note_failure(s,
		    "%u requests of slow clients without an answer, %d s after "
		    "the faults",
		    left, (int)(DRAIN_LIMIT_US / IR_US_PER_S));
	while (clients->all != NULL)
		free_client(clients, clients->all);
}
