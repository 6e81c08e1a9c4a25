/*
 * Which share of a route's fresh requests is worth starting, by how many of
 * its runs ended in vain: in failure, because a call of theirs was refused for
 * overload or found no host, however deep.
 *
 * Answers the load that a deep service cannot take: there each request is
 * refused at one of several calls, after most of its work is done. A window
 * lasts as long as a run, so that what it shows is what the last decision did:
 * the share falls in proportion to the vain runs and rises by a step without
 * them, by more once several windows had none. The share is divided among the
 * client accounts (fair.h), by what each asks for. Which of an account's
 * requests make up its part is decided by their rank, which is the same at each
 * host. Only requests in which nothing is sunk yet are to be asked about.
 */
#ifndef IR_UPSTREAM_VAIN_H
#define IR_UPSTREAM_VAIN_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct ir_vain;

struct ir_vain *ir_vain_new(TALLOC_CTX *mem);
/*
 * Whether a request of that route, rank (priority.h), account and account's
 * weight is to be started.
 */
bool ir_vain_admits(struct ir_vain *v, int64_t now, uint64_t route,
    uint32_t rank, const char *account, uint32_t weight);
/* A run of that route ended, after so long. */
void ir_vain_ended(struct ir_vain *v, int64_t now, uint64_t route, bool in_vain,
    int64_t run_us);
/* Part of the requests that are admitted, 1 for all. */
double ir_vain_share(const struct ir_vain *v, uint64_t route);
/* Forgets routes that were not used for a while. */
void ir_vain_trim(struct ir_vain *v, int64_t now);

#endif
