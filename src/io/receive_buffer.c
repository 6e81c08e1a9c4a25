/* Receive buffers of sockets. */
#include <sys/socket.h>

#include "io/receive_buffer.h"

static void
set_size(int fd, size_t bytes)
{
	int size = (int)bytes;

	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

void
ir_receive_buffer_set_max(int fd, enum ir_socket_kind kind)
{
	set_size(fd, ir_memory_max_socket_bytes(kind));
}

size_t
ir_receive_buffer_grant(struct ir_memory *m, int fd, enum ir_socket_kind kind)
{
	size_t bytes = ir_memory_grant_socket(m, kind);

	set_size(fd, bytes);
	return bytes;
}
