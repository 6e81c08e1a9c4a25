/*
 * What the rate limiter of this host keeps for one client account: granted
 * tokens, pending token requests, waiting calls, and what is known of each
 * bucket. token_requests.h chooses the bucket to request tokens from.
 */
#ifndef IR_CONTRACT_ACCOUNT_TOKENS_H
#define IR_CONTRACT_ACCOUNT_TOKENS_H

#include "core/table.h"
#include "host/view.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

/* A token request times out after this time without an answer. */
#define IR_TOKEN_REQUEST_TIMEOUT_US (60 * IR_US_PER_MS)

/* The unspent tokens of one grant. */
struct ir_token_batch {
	uint64_t sequence; /* of the token request */
	uint32_t bucket;
	uint32_t count;
	int64_t expiry_us;
	struct ir_token_batch *prev, *next;
};

/* A token request that was sent and not answered yet. */
struct ir_token_request {
	uint64_t sequence;
	uint32_t bucket;
	uint32_t requested_tokens;
	int64_t sent_us;
	bool timed_out; /* not waited for; a late grant is still accepted */
	const char *host;
	struct ir_token_request *prev, *next;
};

/* A bucket of the account, as this host knows it. */
struct ir_remote_bucket {
	uint32_t bucket;
	const char *issuer; /* host, or NULL when none is live */
	uint8_t distance;   /* 0 same zone, 1 same region, 2 other region */
	int64_t rtt_us;	    /* smoothed */
	int64_t refused_us; /* time of the last refusal */
	int64_t refused_until_us;
	bool unavailable; /* does not answer, or issues no tokens now */
	int64_t unavailable_since_us;
	int64_t retry_us; /* when to try again while unavailable */
	/* Sequences of grants spent in full, to be reported to the issuer. */
	uint64_t spent[IR_MAX_SPENT_GRANTS];
	uint32_t spent_count;
};

struct ir_account_tokens {
	const char *account;
	bool has_view;
	uint64_t config_revision; /* of the view that buckets follow */
	uint64_t list_revision;
	uint32_t bucket_count;
	struct ir_remote_bucket *buckets;
	uint32_t *nearest;		/* bucket numbers, nearest first */
	uint32_t region_bucket_count;	/* of nearest: in this region */
	int64_t region_refused_us;	/* last refusal by one of them */
	uint32_t rotation;		/* of the buckets after the nearest */
	struct ir_token_batch *batches; /* first to expire first */
	struct ir_token_request *requests; /* oldest first */
	double spent_per_s;		   /* decays exponentially */
	int64_t decayed_us;		   /* up to when the decay is applied */
	uint32_t waiter_count;		   /* calls that wait for tokens */
	int64_t *waiter_start_us;	   /* when each of them arrived */
	uint32_t retry_count;	 /* former waiters that are retried now */
	uint32_t retry_next;	 /* index of the next one to be retried */
	int64_t *retry_start_us; /* when each of them arrived */
	bool retry_due; /* tokens came while waiters could not be retried */
	int64_t used_us;
	UT_hash_handle hh;
};

struct ir_account_tokens *ir_account_tokens_new(
    TALLOC_CTX *mem, int64_t now, const char *account);
/* Updates the buckets and their issuers to the view, if it is a new one. */
void ir_account_tokens_set_view(struct ir_account_tokens *t,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_account *a);
/* Spends one unexpired token; false if the account has none. */
bool ir_account_tokens_spend(struct ir_account_tokens *t, int64_t now);
/* The number of tokens that have not expired. */
uint32_t ir_account_tokens_available(
    const struct ir_account_tokens *t, int64_t now);
/* Drops expired tokens and applies the decay of spent_per_s. */
void ir_account_tokens_expire(struct ir_account_tokens *t, int64_t now);
/*
 * Handles the answer of host to a pending token request; false if there is no
 * such request.
 */
bool ir_account_tokens_add_grant(struct ir_account_tokens *t, int64_t now,
    const char *host, const struct ir_grant *g);
/* Adds a waiting call that arrived at start_us. */
void ir_account_tokens_add_waiter(
    struct ir_account_tokens *t, int64_t start_us);
/*
 * Empties the list of waiters, for the caller to retry each of them in the
 * order in which they were added.
 */
void ir_account_tokens_start_retries(struct ir_account_tokens *t);
/* To be called when all these waiters have been retried. */
void ir_account_tokens_end_retries(struct ir_account_tokens *t);
/*
 * When the call that takes a token now arrived: the time of the next waiter
 * while waiters are retried, else now.
 */
int64_t ir_account_tokens_call_start(struct ir_account_tokens *t, int64_t now);
/* Removes and frees a pending token request. */
void ir_account_tokens_drop_request(
    struct ir_account_tokens *t, struct ir_token_request *q);

#endif
