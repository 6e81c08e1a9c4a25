/* Listening sockets. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "io/listen.h"

#define LISTEN_BACKLOG 1024

socklen_t
ir_socket_address(
    const char *address, uint16_t port, struct sockaddr_storage *to)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)to;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)to;

	memset(to, 0, sizeof(*to));
	if (inet_pton(AF_INET, address, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		return sizeof(*v4);
	}
	if (inet_pton(AF_INET6, address, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		return sizeof(*v6);
	}
	return 0;
}

static bool
is_loopback(const char *address)
{
	struct in_addr four = {0};
	struct in6_addr six = IN6ADDR_ANY_INIT;

	if (inet_pton(AF_INET, address, &four) == 1)
		return ntohl(four.s_addr) >> IN_CLASSA_NSHIFT == IN_LOOPBACKNET;
	if (inet_pton(AF_INET6, address, &six) != 1)
		return false;
	return memcmp(&six, &in6addr_loopback, sizeof(six)) == 0;
}

static uint16_t
actual_port(int fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} s;
	socklen_t size = sizeof(s);

	memset(&s, 0, sizeof(s));
	if (getsockname(fd, &s.any, &size) != 0)
		return 0;
	if (s.any.sa_family == AF_INET)
		return ntohs(s.v4.sin_port);
	return ntohs(s.v6.sin6_port);
}

int
ir_listen(const struct ir_endpoint *e, bool loopback_only, uint16_t *port)
{
	struct sockaddr_storage s;
	socklen_t size = ir_socket_address(e->address, e->port, &s);
	int on = 1;
	int fd, saved;

	if (size == 0) {
		errno = EINVAL;
		return -1;
	}
	if (loopback_only && !is_loopback(e->address)) {
		errno = EADDRNOTAVAIL;
		return -1;
	}
	fd = socket(s.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0)
		goto fail;
	if (bind(fd, (struct sockaddr *)&s, size) != 0)
		goto fail;
	if (listen(fd, LISTEN_BACKLOG) != 0)
		goto fail;
	*port = actual_port(fd);
	return fd;

fail:
	saved = errno;
	close(fd);
	errno = saved;
	return -1;
}
