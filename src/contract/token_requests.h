/*
 * Which buckets the rate limiter requests tokens from, how many, and when all
 * of them count as refused.
 */
#ifndef IR_CONTRACT_TOKEN_REQUESTS_H
#define IR_CONTRACT_TOKEN_REQUESTS_H

#include "contract/account_tokens.h"

struct ir_rate_limiter;

/* Input of the functions below: one account at one time. */
struct ir_limiter_context {
	struct ir_rate_limiter *limiter;
	int64_t now;
	const struct ir_view *view;
	const struct ir_host *self;
	const struct ir_account *account;
	struct ir_account_tokens *tokens;
	uint64_t incarnation;
	uint64_t *sequence; /* of the last token request */
	/* Sends a token request; false if the host cannot be reached now. */
	bool (*send)(struct ir_rate_limiter *rl, int64_t now,
	    const struct ir_host *issuer,
	    const struct ir_grant_request *request);
};

/*
 * Requests the tokens that this many calls need beyond those already requested,
 * from the first bucket that may have some. Also probes unavailable buckets.
 */
void ir_request_tokens(const struct ir_limiter_context *c, uint32_t calls);
/*
 * Whether each bucket is out of reach, has refused since since_us, or has
 * refused earlier for a time that still lasts.
 */
bool ir_all_buckets_refused(
    const struct ir_limiter_context *c, int64_t since_us);
/* When the caller of a denied call may try again, in milliseconds. */
uint32_t ir_denied_retry_after_ms(const struct ir_limiter_context *c);
/* Requests tokens in advance if the rate of spending calls for it. */
void ir_prefetch_tokens(const struct ir_limiter_context *c);
/* Reports spent grants to each issuer that has at_least of them unreported. */
void ir_report_spent_grants(
    const struct ir_limiter_context *c, uint32_t at_least);
/*
 * Marks token requests that timed out, and drops those whose grants would have
 * expired.
 */
void ir_expire_token_requests(const struct ir_limiter_context *c);

#endif
