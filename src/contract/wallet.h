/*
 * The spender's side: tokens granted to this node, by client account.
 *
 * Asks run ahead of demand, to the account's bucket of the own zone first
 * and then to the others. A request for which no token is held waits until a
 * grant comes, every minter in reach has said no, or its patience ends.
 */
#ifndef IR_CONTRACT_WALLET_H
#define IR_CONTRACT_WALLET_H

#include "host/view.h"
#include "link/peer.h"

enum ir_take {
	IR_TAKEN,
	IR_TAKE_WAIT,  /* ready() will be called for the account */
	IR_TAKE_DENIED /* every minter in reach has said no */
};

struct ir_wallet_ops {
	/*
	 * Sends an ask; false when the host cannot be reached now. The answer
	 * of a minter in this process may be given to ir_wallet_granted() from
	 * within.
	 */
	bool (*ask)(void *ctx, int64_t now, const struct ir_host *minter,
	    const struct ir_grant_request *ask);
	/*
	 * Tokens came, or hope ended: try the account's waiting calls again,
	 * all and in the order in which they came, from within.
	 */
	void (*ready)(void *ctx, int64_t now, const char *account);
};

struct ir_wallet;

struct ir_wallet *ir_wallet_new(TALLOC_CTX *mem,
    const struct ir_wallet_ops *ops, void *ctx, uint64_t incarnation);
/*
 * Spends one token of the account. *retry_after_ms is set when denied. self is
 * this host in the view, never NULL.
 */
enum ir_take ir_wallet_take(struct ir_wallet *w, int64_t now,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_account *a, uint32_t *retry_after_ms);
/* A grant message came from host. */
void ir_wallet_granted(struct ir_wallet *w, int64_t now, const char *host,
    const struct ir_grant *g);
/* The link to host was lost: its open asks will not be answered. */
void ir_wallet_host_lost(struct ir_wallet *w, int64_t now, const char *host);
/* Drops expired grants, reports spent ones, asks ahead of demand. */
void ir_wallet_tick(struct ir_wallet *w, int64_t now, const struct ir_view *v,
    const struct ir_host *self);
uint32_t ir_wallet_held(
    const struct ir_wallet *w, int64_t now, const char *account);

#endif
