/* How many bytes the answers of requests that are out will take. */
#include "io/callers/caller_expect.h"

#define MEAN_ANSWERS 64
/* Before any answer came: a large one of usual traffic. */
#define FIRST_BYTES UINT64_C(32768)

void
ir_expect_init(struct ir_expect *e)
{
	e->sum_bytes = FIRST_BYTES * MEAN_ANSWERS;
}

void
ir_expect_note(struct ir_expect *e, size_t bytes)
{
	e->sum_bytes -= e->sum_bytes / MEAN_ANSWERS;
	e->sum_bytes += bytes;
}

uint64_t
ir_expect_bytes(const struct ir_expect *e, size_t requests)
{
	return e->sum_bytes / MEAN_ANSWERS * requests;
}
