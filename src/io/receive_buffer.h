/* Receive buffers of sockets, bounded by the memory of the process. */
#ifndef IR_IO_RECEIVE_BUFFER_H
#define IR_IO_RECEIVE_BUFFER_H

#include "ibisrail/memory.h"

/*
 * Sets the largest buffer of the kind: of a listener, for the connections that
 * it will accept; of a socket before connect(), which negotiates the window.
 */
void ir_receive_buffer_set_max(int fd, enum ir_socket_kind kind);
/*
 * Sets the buffer of a connection to what its memory allows. Returns the bytes
 * to pass to ir_memory_return_socket() when it is closed.
 */
size_t ir_receive_buffer_grant(
    struct ir_memory *m, int fd, enum ir_socket_kind kind);

#endif
