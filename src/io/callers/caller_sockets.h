/*
 * What the kernel holds for sockets of callers, as it matters when they are
 * closed: closing a socket with unread bytes resets its connection, and bytes
 * that the caller has not received are then lost.
 *
 * Where the system does not tell, the functions return 0.
 */
#ifndef IR_IO_CALLER_SOCKETS_H
#define IR_IO_CALLER_SOCKETS_H

#include <stdint.h>

/* Sums over a number of connections. */
struct ir_caller_sockets {
	uint32_t open;
	uint32_t unread;     /* have received bytes that were not read */
	uint32_t unread_ms;  /* longest time since the last of them came */
	uint32_t unanswered; /* have requests without an answer */
	uint32_t unsent;     /* have bytes that the caller has not received */
};

/* Bytes that were received and not read. */
uint32_t ir_socket_unread_bytes(int fd);
/* Bytes in the send buffer that the other end has not acknowledged. */
uint32_t ir_socket_unsent_bytes(int fd);
/* Milliseconds since the last bytes were received. */
uint32_t ir_socket_idle_ms(int fd);
/* Connections in the queue of a listening socket. */
uint32_t ir_socket_queued(int fd);

#endif
