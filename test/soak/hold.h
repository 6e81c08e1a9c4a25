/*
 * Connections of callers that make a node hold bytes: they send many requests
 * at once and read nothing for seconds, or send their bodies slowly. Each
 * stays open until the process is gone, unless its place is needed.
 *
 * Answers must come in the order of the requests, each to its own. What a
 * living node closes without an answer is noted as cut.
 */
#ifndef SOAK_HOLD_H
#define SOAK_HOLD_H

#include "soak/soak.h"

enum hold_kind {
	HOLD_UNREAD,	/* pipelined; answers are left unread */
	HOLD_SLOW_BODY, /* its body comes in pieces */
	HOLD_BODIES	/* bodies at once, answers are read */
};

struct holds *holds_new(struct soak *s);
/* Opens so many of a kind at a host. */
void holds_open(
    struct soak *s, size_t host, enum hold_kind kind, uint32_t count);
/* Writes and reads what is due. */
void holds_step(struct soak *s);
/* Reads until each request has its answer, or its connection ended. */
void holds_end(struct soak *s);
/* Requests sent and answers read so far. */
uint32_t holds_sent(const struct soak *s);
uint32_t holds_answered(const struct soak *s);

#endif
