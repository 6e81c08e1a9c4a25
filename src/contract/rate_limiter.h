/*
 * The rate limiter of this host: admits calls by tokens that the issuers of the
 * client account's buckets grant to it.
 *
 * It requests tokens ahead of demand, from the account's bucket in its own zone
 * first and then from the others. A call that finds no token waits until a
 * grant arrives, all reachable issuers have refused, or its deadline passes
 * (which the caller of this module must check).
 */
#ifndef IR_CONTRACT_RATE_LIMITER_H
#define IR_CONTRACT_RATE_LIMITER_H

#include "host/view.h"
#include "link/peer.h"

enum ir_take_result {
	IR_TAKE_OK,
	IR_TAKE_WAIT,  /* retry_waiting() will be called for the account */
	IR_TAKE_DENIED /* all reachable issuers have refused */
};

struct ir_rate_limiter_ops {
	/*
	 * Sends a token request; false if the host cannot be reached now. An
	 * issuer in this process may answer before this returns, by
	 * calling ir_rate_limiter_add_grant().
	 */
	bool (*send_request)(void *ctx, int64_t now,
	    const struct ir_host *issuer,
	    const struct ir_grant_request *request);
	/*
	 * Tokens arrived, or no more are expected. Tries all waiting calls of
	 * the account again by ir_rate_limiter_take(), in the order in which
	 * they came, before it returns.
	 */
	void (*retry_waiting)(void *ctx, int64_t now, const char *account);
};

struct ir_rate_limiter;

/* incarnation identifies this process in its token requests. */
struct ir_rate_limiter *ir_rate_limiter_new(TALLOC_CTX *mem,
    const struct ir_rate_limiter_ops *ops, void *ctx, uint64_t incarnation);
/*
 * Spends one token of the account. Sets *retry_after_ms when it returns
 * IR_TAKE_DENIED. self is this host in the view, never NULL.
 */
enum ir_take_result ir_rate_limiter_take(struct ir_rate_limiter *rl,
    int64_t now, const struct ir_view *v, const struct ir_host *self,
    const struct ir_account *a, uint32_t *retry_after_ms);
/* Handles a grant message from host. */
void ir_rate_limiter_add_grant(struct ir_rate_limiter *rl, int64_t now,
    const char *host, const struct ir_grant *g);
/* The link to host was lost: drops the token requests pending there. */
void ir_rate_limiter_host_lost(
    struct ir_rate_limiter *rl, int64_t now, const char *host);
/*
 * Periodic work: drops expired grants, reports spent ones, requests tokens, and
 * retries or ends the wait of calls.
 */
void ir_rate_limiter_tick(struct ir_rate_limiter *rl, int64_t now,
    const struct ir_view *v, const struct ir_host *self);
/* The number of tokens of the account that have not expired. */
uint32_t ir_rate_limiter_tokens(
    const struct ir_rate_limiter *rl, int64_t now, const char *account);

#endif
