/* Bounded ring buffers between threads. */
#include <sys/eventfd.h>

#include <ck_pr.h>
#include <ck_ring.h>
#include <stdlib.h>
#include <unistd.h>
#include <utlist.h>

#include "io/ring.h"

struct ir_wakeup {
	int fd;
	uint32_t armed;
	uint64_t pending_signals; /* not yet read from fd; the consumer's */
};

/*
 * The atomic counts order the accesses of the two threads. The barriers of
 * libck would suffice, but race detectors do not recognize them, as they are
 * assembly.
 */
struct ir_ring {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
	struct ir_wakeup *consumer_wakeup;
	uint64_t pushed; /* written by the producer */
	uint64_t popped; /* written by the consumer */
};

struct ir_outbox_entry {
	void *message;
	struct ir_outbox_entry *prev;
	struct ir_outbox_entry *next;
};

static int
close_wakeup(struct ir_wakeup *w)
{
	close(w->fd);
	return 0;
}

struct ir_wakeup *
ir_wakeup_new(TALLOC_CTX *mem)
{
	struct ir_wakeup *w = talloc_zero(mem, struct ir_wakeup);

	if (w == NULL)
		return NULL;
	w->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (w->fd < 0) {
		talloc_free(w);
		return NULL;
	}
	talloc_set_destructor(w, close_wakeup);
	return w;
}

int
ir_wakeup_fd(const struct ir_wakeup *w)
{
	return w->fd;
}

void
ir_wakeup_arm(struct ir_wakeup *w)
{
	__atomic_store_n(&w->armed, 1, __ATOMIC_SEQ_CST);
}

/*
 * A producer that signals clears the flag first and writes to the eventfd
 * afterwards. If the write comes after this call, the next call reads it.
 */
void
ir_wakeup_disarm(struct ir_wakeup *w)
{
	uint64_t count;

	if (__atomic_exchange_n(&w->armed, 0, __ATOMIC_SEQ_CST) == 0)
		w->pending_signals++;
	if (w->pending_signals > 0 && read(w->fd, &count, sizeof(count)) > 0)
		w->pending_signals -= count;
}

void
ir_wakeup_signal(struct ir_wakeup *w)
{
	uint64_t one = 1;
	ssize_t n;

	if (__atomic_load_n(&w->armed, __ATOMIC_SEQ_CST) == 0)
		return;
	if (__atomic_exchange_n(&w->armed, 0, __ATOMIC_SEQ_CST) == 0)
		return;
	n = write(w->fd, &one, sizeof(one));
	(void)n; /* fails only at the maximum count: fd is readable then */
}

static int
free_remaining(struct ir_ring *r)
{
	void *m;

	while ((m = ir_ring_pop(r)) != NULL)
		talloc_free(m);
	return 0;
}

struct ir_ring *
ir_ring_new(TALLOC_CTX *mem, struct ir_wakeup *consumer, uint32_t slots)
{
	struct ir_ring *r = talloc_zero(mem, struct ir_ring);

	if (r == NULL)
		return NULL;
	r->buffer = talloc_zero_array(r, ck_ring_buffer_t, slots);
	if (r->buffer == NULL) {
		talloc_free(r);
		return NULL;
	}
	r->consumer_wakeup = consumer;
	ck_ring_init(&r->ring, slots);
	talloc_set_destructor(r, free_remaining);
	return r;
}

bool
ir_ring_push(struct ir_ring *r, void *message)
{
	uint64_t popped = __atomic_load_n(&r->popped, __ATOMIC_ACQUIRE);

	if (r->pushed - popped >= ck_ring_capacity(&r->ring) - 1)
		return false;
	if (!ck_ring_enqueue_spsc(&r->ring, r->buffer, message))
		return false;
	__atomic_store_n(&r->pushed, r->pushed + 1, __ATOMIC_SEQ_CST);
	ir_wakeup_signal(r->consumer_wakeup);
	return true;
}

void *
ir_ring_pop(struct ir_ring *r)
{
	void *message = NULL;

	if (ir_ring_empty(r))
		return NULL;
	if (!ck_ring_dequeue_spsc(&r->ring, r->buffer, &message))
		return NULL;
	__atomic_store_n(&r->popped, r->popped + 1, __ATOMIC_RELEASE);
	return message;
}

bool
ir_ring_empty(const struct ir_ring *r)
{
	return __atomic_load_n(&r->pushed, __ATOMIC_SEQ_CST) == r->popped;
}

void
ir_outbox_init(struct ir_outbox *o, struct ir_ring *ring)
{
	o->ring = ring;
	o->backlog = NULL;
	o->backlog_count = 0;
}

void
ir_outbox_push(struct ir_outbox *o, void *message)
{
	struct ir_outbox_entry *e;

	if (ir_outbox_flush(o) && ir_ring_push(o->ring, message))
		return;
	e = talloc_zero(NULL, struct ir_outbox_entry);
	if (e == NULL)
		abort();
	e->message = message;
	DL_APPEND(o->backlog, e);
	o->backlog_count++;
}

static void
drop_first(struct ir_outbox *o)
{
	struct ir_outbox_entry *e = o->backlog;

	DL_DELETE(o->backlog, e);
	o->backlog_count--;
	talloc_free(e);
}

bool
ir_outbox_flush(struct ir_outbox *o)
{
	while (o->backlog != NULL) {
		if (!ir_ring_push(o->ring, o->backlog->message))
			return false;
		drop_first(o);
	}
	return true;
}

bool
ir_outbox_is_empty(const struct ir_outbox *o)
{
	const struct ir_ring *r = o->ring;

	return o->backlog == NULL &&
	       __atomic_load_n(&r->popped, __ATOMIC_ACQUIRE) == r->pushed;
}

void
ir_outbox_clear(struct ir_outbox *o)
{
	while (o->backlog != NULL) {
		talloc_free(o->backlog->message);
		drop_first(o);
	}
}
