/*
 * Removes const from a string for a field of a generated message type. Those
 * fields are not const, although encoding a message does not write to them.
 */
#ifndef IR_CORE_UNCONST_H
#define IR_CORE_UNCONST_H

static inline char *
ir_unconst(const char *s)
{
	union {
		const char *in;
		char *out;
	} u = {.in = s};

	return u.out;
}

#endif
