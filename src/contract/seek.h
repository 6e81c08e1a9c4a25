/*
 * Which buckets a wallet asks, for how much, and when it has asked enough.
 */
#ifndef IR_CONTRACT_SEEK_H
#define IR_CONTRACT_SEEK_H

#include "contract/purse.h"

struct ir_wallet;

/* What the functions below act on: one account at one moment. */
struct ir_scene {
	struct ir_wallet *wallet;
	int64_t now;
	const struct ir_view *view;
	const struct ir_host *self;
	const struct ir_account *account;
	struct ir_purse *purse;
	uint64_t incarnation;
	uint64_t *sequence; /* of the last ask */
	bool (*ask)(struct ir_wallet *w, int64_t now,
	    const struct ir_host *minter, const struct ir_grant_request *ask);
};

/* Asks for so many calls, where that may help. */
void ir_seek(const struct ir_scene *c, uint32_t calls);
/* Whether every bucket in reach has refused since then, or still does. */
bool ir_all_refused(const struct ir_scene *c, int64_t since_us);
/* When a denied call may come back. */
uint32_t ir_denied_retry_ms(const struct ir_scene *c);
/* Asks ahead of need when little is held. */
void ir_top_up(const struct ir_scene *c);
/* Reports spent grants to the minters that have so many of them due. */
void ir_report_spent(const struct ir_scene *c, uint32_t at_least);
/* Marks asks without an answer, and forgets those whose grants are void. */
void ir_age_asks(const struct ir_scene *c);

#endif
