/*
 * What a wallet holds of one client account: batches of granted tokens, asks
 * that are out, and what is known of each bucket. No decisions on whom to ask.
 */
#ifndef IR_CONTRACT_PURSE_H
#define IR_CONTRACT_PURSE_H

#include "core/table.h"
#include "host/view.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

/* An ask without an answer for so long is taken for lost. */
#define IR_ASK_PATIENCE_US (60 * IR_US_PER_MS)

/* Tokens of one grant. */
struct ir_batch {
	uint64_t sequence; /* of the ask */
	uint32_t bucket;
	uint32_t left;
	int64_t expiry_us;
	struct ir_batch *prev, *next;
};

struct ir_open_ask {
	uint64_t sequence;
	uint32_t bucket;
	uint32_t want;
	int64_t asked_us;
	bool silent; /* no longer waited for; a late grant still counts */
	const char *host;
	struct ir_open_ask *prev, *next;
};

/* A bucket as its spender knows it. */
struct ir_source {
	uint32_t bucket;
	const char *minter; /* host, or NULL when none is live */
	uint8_t distance;   /* 0 same zone, 1 same region, 2 other */
	int64_t rtt_us;
	int64_t refused_us; /* when it said no last */
	int64_t refused_until_us;
	bool away; /* does not answer, or does not mint */
	int64_t away_since_us;
	int64_t try_us; /* when to ask again while away */
	uint64_t released[IR_MAX_SPENT_GRANTS]; /* spent, not yet reported */
	uint32_t released_count;
};

struct ir_purse {
	const char *account;
	bool synced;
	uint64_t config_revision; /* of the view that sources follow */
	uint64_t list_revision;
	uint32_t source_count;
	struct ir_source *sources;
	uint32_t *order; /* nearest first */
	uint32_t turn;
	struct ir_batch *batches; /* first to expire first */
	struct ir_open_ask *asks; /* oldest first */
	double spent_per_s;	  /* decaying */
	int64_t decayed_us;
	uint32_t waiting;    /* calls that were told to wait */
	int64_t *since_us;   /* when each of them began */
	uint32_t woken;	     /* calls that are to try again now */
	uint32_t woken_next; /* the first that did not yet */
	int64_t *woken_since_us;
	bool wake_due; /* tokens came while they could not be woken */
	int64_t used_us;
	UT_hash_handle hh;
};

struct ir_purse *ir_purse_new(
    TALLOC_CTX *mem, int64_t now, const char *account);
/* Follows the placement of the account's buckets. */
void ir_purse_sync(struct ir_purse *p, const struct ir_view *v,
    const struct ir_host *self, const struct ir_account *a);
/* Spends one token that is still valid at now. */
bool ir_purse_spend(struct ir_purse *p, int64_t now);
uint32_t ir_purse_held(const struct ir_purse *p, int64_t now);
/* Drops expired tokens and lets the rate of spending decay. */
void ir_purse_settle(struct ir_purse *p, int64_t now);
/* Takes the answer to one of the open asks; false when it is none. */
bool ir_purse_granted(struct ir_purse *p, int64_t now, const char *host,
    const struct ir_grant *g);
/* A call that began then waits. */
void ir_purse_wait(struct ir_purse *p, int64_t since_us);
/* The waiting calls are about to try again, in their order. */
void ir_purse_wake(struct ir_purse *p);
/* They all have. */
void ir_purse_woken(struct ir_purse *p);
/* When the call that tries now began: now, unless it has been woken. */
int64_t ir_purse_began(struct ir_purse *p, int64_t now);
void ir_purse_drop_ask(struct ir_purse *p, struct ir_open_ask *q);

#endif
