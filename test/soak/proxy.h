/*
 * Loopback proxies between processes, with faults that are set from outside.
 * One thread serves all of them.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdint.h>
#include <talloc.h>

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,   /* each piece waits for PROXY_DELAY_MS */
	PROXY_SILENT,  /* nothing passes; connections stay open */
	PROXY_ONE_WAY, /* only towards the server */
	PROXY_RESET,   /* open connections and new ones are reset */
	PROXY_MODES
};

#define PROXY_DELAY_MS 150

struct proxies;

struct proxies *proxies_start(TALLOC_CTX *mem);
void proxies_stop(struct proxies *p);
/*
 * A new proxy from an address and port (0: any) to another address; its port.
 * The index is its number, from 0.
 */
uint16_t proxies_add(
    struct proxies *p, const char *address, uint16_t port, const char *target);
/* Port of the server behind it; 0: connections are reset. */
void proxies_set_target(struct proxies *p, uint32_t index, uint16_t port);
uint16_t proxies_port(const struct proxies *p, uint32_t index);
void proxies_set_mode(struct proxies *p, uint32_t index, enum proxy_mode mode);
const char *proxy_mode_name(enum proxy_mode mode);

#endif
