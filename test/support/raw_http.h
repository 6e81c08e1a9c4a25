/* Raw HTTP over loopback sockets, for tests of what is not quite HTTP. */
#ifndef RAW_HTTP_H
#define RAW_HTTP_H

#include <stddef.h>
#include <stdint.h>

#define RAW_ANSWER_BYTES 8192

/* A connected socket. */
int raw_connect(uint16_t port);
/* Sends all of it; stops when the other end is gone. */
void raw_send(int fd, const char *text, size_t size);
/* Connects and sends one text. */
int raw_send_request(uint16_t port, const char *request);
/* Reads one answer, its header and as much body as it says, or to the end. */
void raw_read_answer(int fd, char *text);
/* Reads until the other end closes; the bytes read, without an end mark. */
size_t raw_read_all(int fd, char *text, size_t size);

#endif
