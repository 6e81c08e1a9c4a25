/* Listening sockets, created before any thread is started. */
#ifndef IR_IO_LISTEN_H
#define IR_IO_LISTEN_H

#include <sys/socket.h>

#include "conf/settings.h"

/*
 * Returns a non-blocking listening socket, or -1 with errno set: EINVAL if the
 * address is not numeric, EADDRNOTAVAIL if loopback_only is set and it is not a
 * loopback address. Sets *port to the actual port, which the kernel chooses if
 * e->port is 0.
 */
int ir_listen(const struct ir_endpoint *e, bool loopback_only, uint16_t *port);

/*
 * Converts a numeric IPv4 or IPv6 address. Returns the size of the socket
 * address, 0 if the text is not such an address.
 */
socklen_t ir_socket_address(
    const char *address, uint16_t port, struct sockaddr_storage *to);

#endif
