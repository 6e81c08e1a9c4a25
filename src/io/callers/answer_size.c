/* Moving average of the size of answers. */
#include "io/callers/answer_size.h"

#define MEAN_ANSWERS 64
/* Initial average: the size of a large answer in usual traffic. */
#define INITIAL_BYTES UINT64_C(32768)

void
ir_answer_size_init(struct ir_answer_size *e)
{
	e->sum_bytes = INITIAL_BYTES * MEAN_ANSWERS;
}

void
ir_answer_size_add(struct ir_answer_size *e, size_t bytes)
{
	e->sum_bytes -= e->sum_bytes / MEAN_ANSWERS;
	e->sum_bytes += bytes;
}

uint64_t
ir_answer_size_expected(const struct ir_answer_size *e, size_t requests)
{
	return e->sum_bytes / MEAN_ANSWERS * requests;
}
