/* How long calls take, and whether they can end before this host stops. */
#include "host/call_times.h"
#include "ibisrail/limits.h"

#define WINDOW_US (10 * IR_US_PER_S)
#define MARGIN_DIVISOR 4

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* The place as it is in the window of now. */
static struct ir_call_time
place_at(const struct ir_call_times *t, int64_t now, uint64_t route_hash)
{
	struct ir_call_time p = t->places[route_hash % IR_CALL_TIMES_PLACES];
	int64_t window = now / WINDOW_US;

	if (p.window == window)
		return p;
	p.former_longest_us = p.window == window - 1 ? p.longest_us : 0;
	p.longest_us = 0;
	p.window = window;
	return p;
}

void
ir_call_times_add(
    struct ir_call_times *t, int64_t now, uint64_t route_hash, int64_t took_us)
{
	struct ir_call_time p = place_at(t, now, route_hash);

	p.longest_us = later(p.longest_us, took_us);
	t->places[route_hash % IR_CALL_TIMES_PLACES] = p;
}

int64_t
ir_call_times_longest_us(
    const struct ir_call_times *t, int64_t now, uint64_t route_hash)
{
	struct ir_call_time p = place_at(t, now, route_hash);

	return later(p.longest_us, p.former_longest_us);
}

bool
ir_call_can_end(
    int64_t now, int64_t end_us, int64_t deadline_us, int64_t longest_us)
{
	if (deadline_us <= end_us)
		return true;
	return longest_us != 0 &&
	       now + longest_us + longest_us / MARGIN_DIVISOR <= end_us;
}
