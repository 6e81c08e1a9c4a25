/* Queries of the kernel about sockets. */
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "io/callers/caller_sockets.h"

uint32_t
ir_socket_unread_bytes(int fd)
{
	int bytes;

	if (ioctl(fd, FIONREAD, &bytes) != 0 || bytes < 0)
		return 0;
	return (uint32_t)bytes;
}

uint32_t
ir_socket_unsent_bytes(int fd)
{
	int bytes;

	if (ioctl(fd, SIOCOUTQ, &bytes) != 0 || bytes < 0)
		return 0;
	return (uint32_t)bytes;
}

static struct tcp_info
tcp_info(int fd)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
		return (struct tcp_info){0};
	return info;
}

uint32_t
ir_socket_idle_ms(int fd)
{
	return tcp_info(fd).tcpi_last_data_recv;
}

/* For a listening socket, this field is the length of its queue. */
uint32_t
ir_socket_queued(int fd)
{
	return tcp_info(fd).tcpi_unacked;
}
