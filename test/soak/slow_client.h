/*
 * Connections of callers that make a node hold bytes: they send many requests
 * at once and read nothing for seconds, or send their bodies slowly. Each
 * stays open until the process is gone, unless its place is needed.
 *
 * Answers must come in the order of the requests, each to its own. What a
 * living node closes without an answer is noted as cut.
 */
#ifndef SOAK_SLOW_CLIENT_H
#define SOAK_SLOW_CLIENT_H

#include "soak/soak.h"

enum slow_client_kind {
	SLOW_CLIENT_UNREAD,    /* pipelined; answers are left unread */
	SLOW_CLIENT_SLOW_BODY, /* its body comes in pieces */
	SLOW_CLIENT_BODIES     /* bodies at once, answers are read */
};

struct slow_clients *slow_clients_new(struct soak *s);
/* Opens so many of a kind at a host. */
void slow_clients_open(
    struct soak *s, size_t host, enum slow_client_kind kind, uint32_t count);
/* Writes and reads what is due. */
void slow_clients_step(struct soak *s);
/* Reads until each request has its answer, or its connection ended. */
void slow_clients_drain(struct soak *s);
/* Requests sent and answers read so far. */
uint32_t slow_clients_sent(const struct soak *s);
uint32_t slow_clients_answered(const struct soak *s);

#endif
