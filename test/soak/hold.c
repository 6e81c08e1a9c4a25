/* Connections of callers that make a node hold bytes. */
#include <sys/socket.h>

#include <errno.h>
#include <http_parser.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "soak/hold.h"

#define MAX_HELD 64
#define RECEIVE_BYTES 4096 /* of the socket: little is read ahead */
#define READ_BYTES 65536
#define READS_A_STEP 8
#define MIN_PIPELINED 4
#define PIPELINED_SPAN 20
#define UNREAD_MIN_MS 500
#define UNREAD_SPAN_MS 4000
#define BODY_BYTES 32768
#define PIECE_BYTES 1024
#define PIECE_MS 60
#define STEP_US IR_US_PER_MS
#define ECHO_BYTES 64
/* Over the longest deadline of a request, with room for a busy machine. */
#define END_US (30 * IR_US_PER_S)

struct held {
	struct soak *soak;
	int fd;
	size_t host;
	uint32_t starts;
	enum hold_kind kind;
	uint64_t first; /* id */
	uint32_t asked;
	uint32_t answered;
	bool closes; /* an answer said that the connection ends with it */
	char *out;
	size_t out_bytes;
	size_t out_sent;
	int64_t piece_us; /* when the next piece is due */
	int64_t read_us;  /* nothing is read before */
	http_parser parser;
	char echo[ECHO_BYTES + 1]; /* how the answer's body begins */
	size_t echo_bytes;
	struct held *prev;
	struct held *next;
};

struct holds {
	struct held *all;
	uint32_t count;
	uint32_t sent;
	uint32_t answered;
	int64_t due_us;
	bool ending; /* all is read at once */
};

struct holds *
holds_new(struct soak *s)
{
	return talloc_zero(s, struct holds);
}

uint32_t
holds_sent(const struct soak *s)
{
	return s->holds->sent;
}

uint32_t
holds_answered(const struct soak *s)
{
	return s->holds->answered;
}

static void
end_held(struct holds *hs, struct held *h)
{
	DL_DELETE(hs->all, h);
	hs->count--;
	close(h->fd);
	talloc_free(h);
}

static int
on_begin(http_parser *parser)
{
	struct held *h = parser->data;

	h->echo_bytes = 0;
	return 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
	struct held *h = parser->data;
	size_t n = ECHO_BYTES - h->echo_bytes;

	if (size < n)
		n = size;
	memcpy(h->echo + h->echo_bytes, data, n);
	h->echo_bytes += n;
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct held *h = parser->data;
	uint64_t id = h->first + h->answered;
	char *own;

	if (parser->status_code / 100 == 1)
		return 0;
	h->echo[h->echo_bytes] = '\0';
	h->closes = http_should_keep_alive(parser) == 0;
	if (h->answered == h->asked) {
		soak_note_broken(
		    h->soak, "an answer after that to %" PRIu64, id - 1);
		return 0;
	}
	own = pr_test_id(procs, id);
	if (parser->status_code == 200 && strstr(h->echo, own) == NULL)
		soak_note_broken(h->soak,
		    "held request %" PRIu64 " got another's answer", id);
	talloc_free(own);
	h->answered++;
	h->soak->holds->answered++;
	return 0;
}

static const http_parser_settings callbacks = {
    .on_message_begin = on_begin,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* A request as bytes, under the connection. */
static char *
request_text(struct held *h, uint64_t id, const char *method, const char *path,
    size_t body_bytes)
{
	struct pr_request r = {.path = path, .key = procs->keys[KEY_MAIN]};
	const char *headers[PR_HEADERS];
	TALLOC_CTX *parts = talloc_new(NULL);
	const char *target = pr_build_headers(parts, procs, &r, id, headers);
	char *head = talloc_asprintf(h, "%s %s HTTP/1.1\r\n", method, target);

	/* The platform's requests name a host of their own. */
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
add_request(struct held *h, const char *method, const char *path, size_t body)
{
	char *text = request_text(h, h->first + h->asked, method, path, body);
	size_t n = strlen(text);

	h->out = talloc_realloc(h, h->out, char, h->out_bytes + n + body);
	memcpy(h->out + h->out_bytes, text, n);
	memset(h->out + h->out_bytes + n, 'b', body);
	h->out_bytes += n + body;
	h->asked++;
	h->soak->holds->sent++;
	talloc_free(text);
}

static void
fill(struct held *h, int64_t now)
{
	struct soak *s = h->soak;
	uint32_t count = MIN_PIPELINED + soak_below(s, PIPELINED_SPAN);

	/* Ids of a connection stand in a row. */
	h->first = procs->next_id + 1;
	procs->next_id += MIN_PIPELINED + PIPELINED_SPAN;
	if (h->kind != HOLD_UNREAD) {
		add_request(h, "POST", "/t/charge", BODY_BYTES);
		return;
	}
	for (uint32_t i = 0; i < count; i++)
		add_request(h, "GET", i % 2 == 0 ? "/s/run" : "/t/run", 0);
	h->read_us = now + (UNREAD_MIN_MS + soak_below(s, UNREAD_SPAN_MS)) *
			       IR_US_PER_MS;
}

static int
dial(uint16_t port, bool reads_little)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int size = RECEIVE_BYTES;

	if (fd < 0)
		return -1;
	if (reads_little)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Gives up the oldest connection that waits for nothing; false without one. */
static bool
make_room(struct holds *hs)
{
	struct held *h;

	if (hs->count < MAX_HELD)
		return true;
	DL_FOREACH (hs->all, h) {
		if (h->answered == h->asked) {
			end_held(hs, h);
			return true;
		}
	}
	return false;
}

static void
open_one(struct soak *s, size_t host, enum hold_kind kind)
{
	struct holds *hs = s->holds;
	struct held *h;
	int fd;

	if (procs->hosts[host].node.pid == 0 || !make_room(hs))
		return;
	fd = dial(procs->hosts[host].callers_port, kind == HOLD_UNREAD);
	if (fd < 0)
		return;
	h = talloc_zero(hs, struct held);
	h->soak = s;
	h->fd = fd;
	h->host = host;
	h->starts = s->hosts[host].starts;
	h->kind = kind;
	http_parser_init(&h->parser, HTTP_RESPONSE);
	h->parser.data = h;
	fill(h, ir_clock_now());
	DL_APPEND(hs->all, h);
	hs->count++;
}

void
holds_open(struct soak *s, size_t host, enum hold_kind kind, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		open_one(s, host, kind);
}

static void
write_due(struct held *h, int64_t now)
{
	size_t left = h->out_bytes - h->out_sent;
	ssize_t n;

	if (left == 0 || now < h->piece_us)
		return;
	if (h->kind == HOLD_SLOW_BODY) {
		h->piece_us = now + PIECE_MS * IR_US_PER_MS;
		left = left < PIECE_BYTES ? left : PIECE_BYTES;
	}
	n = send(h->fd, h->out + h->out_sent, left, MSG_NOSIGNAL);
	if (n > 0)
		h->out_sent += (size_t)n;
	else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
		h->out_sent = h->out_bytes; /* reading tells of the end */
}

static void
note_end(struct held *h)
{
	/* Requests behind an answer that ends the connection are not read. */
	if (h->closes)
		return;
	for (uint32_t i = h->answered; i < h->asked; i++)
		soak_note_cut(h->soak, h->host, h->starts, h->first + i);
}

/* False when the connection has ended. */
static bool
read_due(struct held *h)
{
	static char data[READ_BYTES];

	for (int i = 0; i < READS_A_STEP; i++) {
		ssize_t n = recv(h->fd, data, sizeof(data), MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (n <= 0)
			return false;
		if (http_parser_execute(
			&h->parser, &callbacks, data, (size_t)n) != (size_t)n) {
			soak_note_broken(h->soak,
			    "what came after answer %" PRIu64 " is no HTTP",
			    h->first + h->answered);
			return false;
		}
	}
	return true;
}

static void
step_held(struct holds *hs, struct held *h, int64_t now)
{
	write_due(h, now);
	if (now < h->read_us && !hs->ending)
		return;
	if (read_due(h))
		return;
	note_end(h);
	end_held(hs, h);
}

void
holds_step(struct soak *s)
{
	int64_t now = ir_clock_now();
	struct holds *hs = s->holds;
	struct held *h, *next;

	if (now < hs->due_us)
		return;
	hs->due_us = now + STEP_US;
	DL_FOREACH_SAFE (hs->all, h, next) {
		step_held(hs, h, now);
	}
}

static uint32_t
unanswered(const struct holds *hs)
{
	const struct held *h;
	uint32_t n = 0;

	DL_FOREACH (hs->all, h) {
		n += h->asked - h->answered;
	}
	return n;
}

void
holds_end(struct soak *s)
{
	int64_t until = ir_clock_now() + END_US;
	struct holds *hs = s->holds;
	uint32_t left;

	hs->ending = true;
	while ((left = unanswered(hs)) > 0 && ir_clock_now() < until) {
		holds_step(s);
		fake_fetcher_step(procs->fetcher, SOAK_STEP_MS);
	}
	if (left > 0)
		soak_note_broken(s,
		    "%u held requests without an answer, %d s after the faults",
		    left, (int)(END_US / IR_US_PER_S));
	while (hs->all != NULL)
		end_held(hs, hs->all);
}
