/* An upstream in simulated time. */
#include <assert.h>
#include <string.h>

#include "core/random.h"
#include "support/upstream_sim.h"

static double
fraction(struct upstream_sim *u)
{
	return (double)(ir_random(&u->random) >> 11) / 9007199254740992.0;
}

/* Exponential with mean 1, by von Neumann's comparison of uniforms. */
static double
exponential(struct upstream_sim *u)
{
	for (uint32_t integer_part = 0;; integer_part++) {
		double first = fraction(u);
		double last = first;
		bool even = false;

		for (;;) {
			double next = fraction(u);

			if (next >= last)
				break;
			last = next;
			even = !even;
		}
		if (!even)
			return integer_part + first;
	}
}

static int64_t
service_time(struct upstream_sim *u)
{
	double mean = (double)u->service_us;

	switch (u->spread) {
	case UPSTREAM_SIM_UNIFORM:
		return (int64_t)(mean * (0.5 + fraction(u)));
	case UPSTREAM_SIM_EXPONENTIAL:
		return (int64_t)(mean * exponential(u));
	default:
		return u->service_us;
	}
}

void
upstream_sim_init(struct upstream_sim *u, uint32_t capacity, int64_t service_us,
    uint64_t seed)
{
	memset(u, 0, sizeof(*u));
	u->capacity = capacity;
	u->service_us = service_us;
	u->random = seed;
	for (uint32_t i = 0; i < UPSTREAM_SIM_MAX; i++)
		u->free_ids[u->free_count++] = UPSTREAM_SIM_MAX - 1 - i;
}

static void
serve(struct upstream_sim *u, int64_t now, uint32_t id)
{
	u->busy[u->busy_count].id = id;
	u->busy[u->busy_count].end_us = now + service_time(u);
	u->busy_count++;
}

static void
serve_waiting(struct upstream_sim *u, int64_t now)
{
	while (u->waiting_count > 0 && u->busy_count < u->capacity) {
		serve(u, now, u->waiting[u->waiting_first]);
		u->waiting_first = (u->waiting_first + 1) % UPSTREAM_SIM_MAX;
		u->waiting_count--;
	}
}

bool
upstream_sim_start(struct upstream_sim *u, int64_t now, uint32_t *id)
{
	bool full = u->busy_count >= u->capacity;

	if (u->free_count == 0 || (full && u->sheds))
		return false;
	*id = u->free_ids[--u->free_count];
	if (!full)
		serve(u, now, *id);
	else
		u->waiting[(u->waiting_first + u->waiting_count++) %
			   UPSTREAM_SIM_MAX] = *id;
	return true;
}

static void
end_service(struct upstream_sim *u, int64_t now, uint32_t i)
{
	u->busy[i] = u->busy[--u->busy_count];
	serve_waiting(u, now);
}

bool
upstream_sim_ended(struct upstream_sim *u, int64_t now, uint32_t *id)
{
	uint32_t first = 0;

	for (uint32_t i = 1; i < u->busy_count; i++) {
		if (u->busy[i].end_us < u->busy[first].end_us)
			first = i;
	}
	if (u->busy_count == 0 || u->busy[first].end_us > now)
		return false;
	*id = u->busy[first].id;
	u->free_ids[u->free_count++] = *id;
	end_service(u, u->busy[first].end_us, first);
	return true;
}

void
upstream_sim_cancel(struct upstream_sim *u, int64_t now, uint32_t id)
{
	for (uint32_t i = 0; i < u->busy_count; i++) {
		if (u->busy[i].id == id) {
			u->free_ids[u->free_count++] = id;
			end_service(u, now, i);
			return;
		}
	}
	for (uint32_t i = 0; i < u->waiting_count; i++) {
		uint32_t at = (u->waiting_first + i) % UPSTREAM_SIM_MAX;

		if (u->waiting[at] != id)
			continue;
		for (uint32_t j = i + 1; j < u->waiting_count; j++) {
			uint32_t next =
			    (u->waiting_first + j) % UPSTREAM_SIM_MAX;

			u->waiting[at] = u->waiting[next];
			at = next;
		}
		u->waiting_count--;
		u->free_ids[u->free_count++] = id;
		return;
	}
	assert(false);
}
