/* HTTP over plain loopback sockets, for tests that send malformed requests. */
#ifndef RAW_HTTP_H
#define RAW_HTTP_H

#include <stddef.h>
#include <stdint.h>

#define RAW_ANSWER_BYTES 8192

/* Returns a connected socket; fails the test if it cannot connect. */
int raw_connect(uint16_t port);
/* Sends size bytes; stops if the connection is closed. */
void raw_send(int fd, const char *text, size_t size);
/* Connects and sends the request. Returns the socket. */
int raw_send_request(uint16_t port, const char *request);
/*
 * Reads one answer: the head and as much body as its Content-Length says, or
 * until the connection closes. text has RAW_ANSWER_BYTES and is terminated.
 */
void raw_read_answer(int fd, char *text);
/*
 * Reads until the connection closes or size - 1 bytes have come. Returns their
 * number; the rest of text is zero.
 */
size_t raw_read_all(int fd, char *text, size_t size);

#endif
