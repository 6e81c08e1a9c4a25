/* What the process holds, as the system counts it. */
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include "io/memory.h"

/* Pages: size, resident, and of these those of files, then more numbers. */
#define PAGES_FILE "/proc/self/statm"
#define TEXT_BYTES 128

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

bool
ir_memory_measure(struct ir_memory *m)
{
	uint64_t resident, of_files;

	if (!read_pages(&resident, &of_files))
		return false;
	return ir_memory_note(
	    m, (resident - of_files) * (uint64_t)sysconf(_SC_PAGESIZE));
}
