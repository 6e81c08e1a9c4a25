/* Resident memory of the process, as the kernel reports it. */
#include <fcntl.h>
#include <malloc.h>
#include <stdlib.h>
#include <unistd.h>

#include "ibisrail/limits.h"
#include "io/memory.h"

/* Numbers of pages: total size, resident, resident and file-backed, others. */
#define PAGES_FILE "/proc/self/statm"
#define TEXT_BYTES 128
/* Period of malloc_trim() while memory is short. */
#define TRIM_PERIOD_US IR_US_PER_S

static bool
read_pages(uint64_t *resident, uint64_t *file_backed)
{
	char text[TEXT_BYTES];
	int fd = open(PAGES_FILE, O_RDONLY | O_CLOEXEC);
	ssize_t n;
	char *p;

	if (fd < 0)
		return false;
	n = read(fd, text, sizeof(text) - 1);
	close(fd);
	if (n <= 0)
		return false;
	text[n] = '\0';
	(void)strtoull(text, &p, 10);
	*resident = strtoull(p, &p, 10);
	*file_backed = strtoull(p, &p, 10);
	return *resident >= *file_backed;
}

static void
trim_allocator(struct ir_memory *m, int64_t now)
{
	if (!ir_memory_is_short(m) || now < m->next_trim_us)
		return;
	m->next_trim_us = now + TRIM_PERIOD_US;
	(void)malloc_trim(0);
}

bool
ir_memory_measure(struct ir_memory *m, int64_t now)
{
	uint64_t resident, file_backed;

	trim_allocator(m, now);
	if (!read_pages(&resident, &file_backed))
		return false;
	return ir_memory_set_process_bytes(
	    m, (resident - file_backed) * (uint64_t)sysconf(_SC_PAGESIZE));
}
