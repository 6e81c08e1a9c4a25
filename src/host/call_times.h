/*
 * How long calls take, and whether one that is to begin now can end before this
 * host stops. The load is that of the callers of one host, on routes whose
 * calls differ in duration by a factor of a hundred.
 *
 * For each route the longest call of the last one to two windows is kept, also
 * if it failed or its caller left. Routes are told apart by a hash in a table
 * of fixed size; routes that share a place share the longest call, so that the
 * figure may be too high, and never too low.
 *
 * Times are microseconds of one clock. No function allocates or logs.
 */
#ifndef IR_HOST_CALL_TIMES_H
#define IR_HOST_CALL_TIMES_H

#include <stdbool.h>
#include <stdint.h>

#define IR_CALL_TIMES_PLACES 256

struct ir_call_time {
	int64_t window; /* number of the present window */
	int64_t longest_us;
	int64_t former_longest_us; /* of the window before */
};

/* Zeroed at the start. */
struct ir_call_times {
	struct ir_call_time places[IR_CALL_TIMES_PLACES];
};

/* A call of the route has taken took_us. */
void ir_call_times_add(
    struct ir_call_times *t, int64_t now, uint64_t route_hash, int64_t took_us);
/* The longest call; 0 if there was none lately. */
int64_t ir_call_times_longest_us(
    const struct ir_call_times *t, int64_t now, uint64_t route_hash);

/*
 * Whether a call that begins now ends by end_us: at its deadline, or as the
 * longest ones (0: unknown) do, and a quarter later.
 */
bool ir_call_can_end(
    int64_t now, int64_t end_us, int64_t deadline_us, int64_t longest_us);

#endif
