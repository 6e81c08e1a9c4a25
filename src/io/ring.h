/*
 * Bounded ring buffers between threads, with one producer and one consumer.
 * A ring passes pointers to talloc contexts and their ownership. An outbox adds
 * an unbounded list for messages that do not fit into the ring.
 *
 * A consumer has one struct ir_wakeup (an eventfd) for all of its rings:
 *
 *	pop all messages; ir_wakeup_arm(); check that the rings are empty;
 *	wait on ir_wakeup_fd(); ir_wakeup_disarm()
 *
 * Producers write to the eventfd only while it is armed, that is, while the
 * consumer may be waiting.
 */
#ifndef IR_IO_RING_H
#define IR_IO_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct ir_wakeup;
struct ir_ring;

/* NULL if no eventfd can be created. */
struct ir_wakeup *ir_wakeup_new(TALLOC_CTX *mem);
int ir_wakeup_fd(const struct ir_wakeup *w);
/* For the consumer, before and after it waits. */
void ir_wakeup_arm(struct ir_wakeup *w);
void ir_wakeup_disarm(struct ir_wakeup *w);
/* Wakes the consumer if it is armed. Any thread may call this. */
void ir_wakeup_signal(struct ir_wakeup *w);

/*
 * Creates a ring for slots - 1 messages; slots is a power of two. talloc_free()
 * of the ring frees the messages left in it. NULL if out of memory.
 */
struct ir_ring *ir_ring_new(
    TALLOC_CTX *mem, struct ir_wakeup *consumer, uint32_t slots);
/* False if the ring is full; the producer then keeps the message. */
bool ir_ring_push(struct ir_ring *r, void *message);
/* The oldest message, NULL if the ring is empty. For the consumer. */
void *ir_ring_pop(struct ir_ring *r);
/* For the consumer only. */
bool ir_ring_empty(const struct ir_ring *r);

/* The producer's side of a ring, with a list of messages that did not fit. */
struct ir_outbox_entry;
struct ir_outbox {
	struct ir_ring *ring;
	struct ir_outbox_entry *backlog;
	size_t backlog_count;
};

void ir_outbox_init(struct ir_outbox *o, struct ir_ring *ring);
/*
 * Takes ownership of the message, a talloc context without parent. It goes into
 * the ring, or into the backlog if that is not empty or the ring is full. If
 * out of memory, ends the process.
 */
void ir_outbox_push(struct ir_outbox *o, void *message);
/* Moves the backlog into the ring; true if none is left. */
bool ir_outbox_flush(struct ir_outbox *o);
/* Whether the consumer has taken all messages. */
bool ir_outbox_is_empty(const struct ir_outbox *o);
/* Frees the messages of the backlog. */
void ir_outbox_clear(struct ir_outbox *o);

#endif
