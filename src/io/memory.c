/* What the process holds, as the system counts it. */
#include <fcntl.h>
#include <malloc.h>
#include <stdlib.h>
#include <unistd.h>

#include "ibisrail/limits.h"
#include "io/memory.h"

/* Pages: size, resident, and of these those of files, then more numbers. */
#define PAGES_FILE "/proc/self/statm"
#define TEXT_BYTES 128
/* How often a process that is short gives free pages back. */
#define TRIM_US IR_US_PER_S

static bool
read_pages(uint64_t *resident, uint64_t *of_files)
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
	*of_files = strtoull(p, &p, 10);
	return *resident >= *of_files;
}

static void
give_back(struct ir_memory *m, int64_t now)
{
	if (!ir_memory_is_short(m) || now < m->trim_us)
		return;
	m->trim_us = now + TRIM_US;
	(void)malloc_trim(0);
}

bool
ir_memory_measure(struct ir_memory *m, int64_t now)
{
	uint64_t resident, of_files;

	give_back(m, now);
	if (!read_pages(&resident, &of_files))
		return false;
	return ir_memory_note(
	    m, (resident - of_files) * (uint64_t)sysconf(_SC_PAGESIZE));
}
