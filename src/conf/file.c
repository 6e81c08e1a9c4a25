/* Reads a whole file. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "conf/file.h"

char *
ir_file_read(TALLOC_CTX *mem, const char *file, size_t max_bytes,
    size_t *size_bytes, char **error)
{
	FILE *f = fopen(file, "re");
	char *text = NULL;

	*error = NULL;
	if (f == NULL)
		goto failed;
	text = talloc_size(mem, max_bytes + 1);
	errno = 0;
	*size_bytes = fread(text, 1, max_bytes + 1, f);
	if (ferror(f))
		goto failed;
	fclose(f);
	return text;
failed:
	*error = talloc_asprintf(mem, "%s: %s", file, strerror(errno));
	talloc_free(text);
	if (f != NULL)
		fclose(f);
	return NULL;
}
