/*
 * Limits on retries: a quota for each request and a budget for each service.
 *
 * The quota of a request bounds the retries of its whole call tree. Each
 * attempt that is sent to another host carries some of the quota's tokens; the
 * reply returns the unspent ones. If the reply is lost, so are these tokens.
 * The sum of the tokens in the tree therefore never rises.
 */
#ifndef IR_CONTRACT_RETRY_H
#define IR_CONTRACT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* What one host has of the retry quota of one request. */
struct ir_retry_quota {
	uint32_t tokens; /* one for each retry */
};

/* Takes the token for a retry by this host; false if the quota is empty. */
bool ir_retry_quota_take(struct ir_retry_quota *q);
/*
 * Removes the tokens for a new attempt, half of them rounded up, and returns
 * their number.
 */
uint32_t ir_retry_quota_split(struct ir_retry_quota *q);
/* Adds the tokens that a reply returned, at most those sent. */
void ir_retry_quota_return(
    struct ir_retry_quota *q, uint32_t sent, uint32_t returned);

/*
 * Retries toward one service in relation to first attempts. Both counts decay
 * exponentially. All zeroes is a valid start.
 */
struct ir_retry_budget {
	double first_attempts;
	double retries;
	int64_t decayed_us; /* up to when the decay is applied */
};

void ir_retry_budget_add_first_attempt(struct ir_retry_budget *b, int64_t now);
/*
 * Counts a retry and returns true if retries stay within a tenth of the first
 * attempts, or within 3 for a service with few requests.
 */
bool ir_retry_budget_take(struct ir_retry_budget *b, int64_t now);

#endif
