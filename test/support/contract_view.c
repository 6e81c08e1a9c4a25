#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "support/contract_view.h"

static int
by_hash(const void *a, const void *b)
{
	const struct ir_host *x = *(struct ir_host *const *)a;
	const struct ir_host *y = *(struct ir_host *const *)b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}

static void
fill_zones(struct ir_view *v)
{
	for (size_t i = 0; i < v->zone_count; i++) {
		struct ir_zone *z = &v->zones[i];

		z->hosts = talloc_array(v, struct ir_host *, v->host_count + 1);
		z->host_count = 0;
		for (size_t k = 0; k < v->host_count; k++)
			if (strcmp(v->hosts[k].zone, z->name) == 0)
				z->hosts[z->host_count++] = &v->hosts[k];
		qsort(
		    z->hosts, z->host_count, sizeof(struct ir_host *), by_hash);
	}
}

static void
set_host(struct ir_view *v, struct ir_host *h, const struct ir_zone *z,
    uint32_t number)
{
	h->name = talloc_asprintf(v, "%s-h%04u", z->name, number);
	h->zone = z->name;
	h->region = z->region;
	h->hash = XXH64(h->name, strlen(h->name), 0);
}

struct ir_view *
contract_view_new(TALLOC_CTX *mem, uint32_t zones, uint32_t hosts_per_zone)
{
	struct ir_view *v = talloc_zero(mem, struct ir_view);

	v->store_region = "r1";
	v->zone_count = zones;
	v->zones = talloc_zero_array(v, struct ir_zone, zones);
	v->hosts = talloc_zero_array(v, struct ir_host, zones * hosts_per_zone);
	for (uint32_t i = 0; i < zones; i++) {
		v->zones[i].name = talloc_asprintf(v, "z%u", i + 1);
		v->zones[i].region = i < (zones + 1) / 2 ? "r1" : "r2";
		for (uint32_t k = 0; k < hosts_per_zone; k++)
			set_host(
			    v, &v->hosts[v->host_count++], &v->zones[i], k + 1);
	}
	fill_zones(v);
	return v;
}

struct ir_view *
contract_view_without(
    TALLOC_CTX *mem, const struct ir_view *from, const char *host)
{
	struct ir_view *v = talloc_memdup(mem, from, sizeof *from);

	v->list_revision++;
	v->zones =
	    talloc_memdup(v, from->zones, v->zone_count * sizeof *v->zones);
	v->hosts = talloc_array(v, struct ir_host, from->host_count);
	v->host_count = 0;
	for (size_t i = 0; i < from->host_count; i++)
		if (!host || strcmp(from->hosts[i].name, host) != 0)
			v->hosts[v->host_count++] = from->hosts[i];
	if (from->accounts)
		v->accounts = talloc_memdup(
		    v, from->accounts, v->account_count * sizeof *v->accounts);
	fill_zones(v);
	return v;
}

struct ir_view *
contract_view_leaving(
    TALLOC_CTX *mem, const struct ir_view *from, const char *host)
{
	struct ir_view *v = contract_view_without(mem, from, NULL);

	for (size_t i = 0; i < v->host_count; i++)
		if (strcmp(v->hosts[i].name, host) == 0)
			v->hosts[i].leaving = true;
	return v;
}

void
contract_view_set_account(
    struct ir_view *v, const char *name, uint32_t rate_per_s, uint32_t burst)
{
	struct ir_account *a = NULL;

	for (size_t i = 0; i < v->account_count; i++)
		if (strcmp(v->accounts[i].name, name) == 0)
			a = &v->accounts[i];
	if (!a) {
		v->accounts = talloc_realloc(
		    v, v->accounts, struct ir_account, v->account_count + 1);
		a = &v->accounts[v->account_count++];
	}
	*a = (struct ir_account){.name = name,
	    .rate_mt_per_s = rate_per_s * UINT64_C(1000),
	    .burst_mt = burst * UINT64_C(1000),
	    .weight = 1};
}

uint64_t
contract_view_random(uint64_t *state)
{
	uint64_t x = *state += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}
