/*
 * TCP proxies between processes on the loopback interface, which inject link
 * faults. One thread serves all proxies.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdint.h>
#include <talloc.h>

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,   /* delays data by PROXY_DELAY_MS */
	PROXY_SILENT,  /* forwards nothing; connections stay open */
	PROXY_ONE_WAY, /* forwards towards the server only */
	PROXY_RESET,   /* resets open and new connections */
	PROXY_MODES
};

#define PROXY_DELAY_MS 150

struct proxies;

/* Starts the thread; stopping resets open connections and frees all. */
struct proxies *proxies_start(TALLOC_CTX *mem);
void proxies_stop(struct proxies *p);
/*
 * Adds a proxy that listens at an address and port (0: any) and forwards to
 * another address. Returns its port. Proxies are numbered from 0 in this order.
 * Aborts if it cannot listen.
 */
uint16_t proxies_add(
    struct proxies *p, const char *address, uint16_t port, const char *target);
/* Sets the port to forward to; 0 resets new connections. */
void proxies_set_target(struct proxies *p, uint32_t index, uint16_t port);
/* Returns the port at which a proxy listens. */
uint16_t proxies_port(const struct proxies *p, uint32_t index);
void proxies_set_mode(struct proxies *p, uint32_t index, enum proxy_mode mode);
const char *proxy_mode_name(enum proxy_mode mode);

#endif
