/*
 * Callers that make a node buffer bytes: they pipeline requests and read
 * nothing for seconds, or send request bodies slowly. A connection stays open
 * until its node ends, unless its place is needed for another one.
 *
 * Checked: answers come in the order of the requests, each to its own request.
 * Requests whose connection a running node closes without an answer are noted
 * by soak_note_closed().
 */
#ifndef SOAK_SLOW_CLIENT_H
#define SOAK_SLOW_CLIENT_H

#include "soak/soak.h"

enum slow_client_kind {
	SLOW_CLIENT_UNREAD,    /* pipelines; reads answers after a delay */
	SLOW_CLIENT_SLOW_BODY, /* sends a body in small pieces */
	SLOW_CLIENT_BODIES     /* sends a body at once, reads the answer */
};

struct slow_clients *slow_clients_new(struct soak *s);
/* Opens count connections of a kind to a host, if its node runs. */
void slow_clients_open(
    struct soak *s, size_t host, enum slow_client_kind kind, uint32_t count);
/* Sends and reads what is due. */
void slow_clients_step(struct soak *s);
/*
 * Reads until each request is answered or its connection is closed, up to a
 * limit of time, then closes all connections. The limit is a failure.
 */
void slow_clients_drain(struct soak *s);
/* Return the numbers of requests sent and of answers read so far. */
uint32_t slow_clients_sent(const struct soak *s);
uint32_t slow_clients_answered(const struct soak *s);

#endif
