/* Reads and writes sections as files in a directory. */
#include <sys/stat.h>

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "conf/file.h"
#include "ctl/ctl.h"

#define DIRECTORY_MODE 0755
#define FILE_SUFFIX ".json"

static bool
report_error(const char *file, const char *what)
{
	fprintf(stderr, "ibisrailctl: %s: %s\n", file, what);
	return false;
}

/* Reads one section. A missing file is not an error. */
static bool
read_section(
    TALLOC_CTX *mem, const char *dir, const char *name, struct ctl_sections *to)
{
	char *file = talloc_asprintf(mem, "%s/%s" FILE_SUFFIX, dir, name);
	char *error = NULL, *text;
	struct ir_section *s;
	size_t size = 0;

	if (access(file, F_OK) != 0 && errno == ENOENT)
		return true;
	text = ir_file_read(mem, file, IR_MAX_SECTION_TEXT, &size, &error);
	if (text == NULL) {
		fprintf(stderr, "ibisrailctl: %s\n", error);
		return false;
	}
	if (size > IR_MAX_SECTION_TEXT)
		return report_error(file, "too large for a section");
	text[size] = '\0';
	to->sections =
	    talloc_realloc(mem, to->sections, struct ir_section, to->count + 1);
	s = &to->sections[to->count++];
	*s =
	    (struct ir_section){.name = talloc_strdup(mem, name), .text = text};
	return true;
}

static int
is_section_file(const struct dirent *d)
{
	size_t n = strlen(d->d_name), m = strlen(FILE_SUFFIX);

	return d->d_name[0] != '.' && n > m &&
	       strcmp(d->d_name + n - m, FILE_SUFFIX) == 0;
}

static bool
read_services(TALLOC_CTX *mem, const char *dir, struct ctl_sections *to)
{
	char *path = talloc_asprintf(mem, "%s/service", dir);
	struct dirent **entries = NULL;
	int n = scandir(path, &entries, is_section_file, alphasort);
	bool ok = true;
	char *name;

	if (n < 0)
		return errno == ENOENT || report_error(path, strerror(errno));
	for (int i = 0; i < n; i++) {
		const char *file = entries[i]->d_name;

		name = talloc_asprintf(mem, "service/%.*s",
		    (int)(strlen(file) - strlen(FILE_SUFFIX)), file);
		ok = ok && read_section(mem, dir, name, to);
		free(entries[i]);
	}
	free(entries);
	return ok;
}

bool
ctl_sections_read(TALLOC_CTX *mem, const char *dir, struct ctl_sections *to)
{
	*to = (struct ctl_sections){0};
	return read_section(mem, dir, "fleet", to) &&
	       read_section(mem, dir, "accounts", to) &&
	       read_services(mem, dir, to);
}

static bool
ensure_directory(const char *dir)
{
	if (mkdir(dir, DIRECTORY_MODE) == 0 || errno == EEXIST)
		return true;
	return report_error(dir, strerror(errno));
}

/* Renames a temporary file, so that readers see complete sections only. */
static bool
write_section(const char *dir, const struct ir_section *s)
{
	char *file = talloc_asprintf(NULL, "%s/%s" FILE_SUFFIX, dir, s->name);
	char *temporary = talloc_asprintf(file, "%s.part", file);
	FILE *f = fopen(temporary, "we");
	bool ok = false;

	if (f != NULL) {
		ok = fputs(s->text, f) != EOF;
		ok = fclose(f) == 0 && ok;
		ok = ok && rename(temporary, file) == 0;
	}
	if (!ok)
		report_error(file, strerror(errno));
	talloc_free(file);
	return ok;
}

bool
ctl_sections_write(const char *dir, const struct ir_collect_result *c)
{
	char *services = talloc_asprintf(NULL, "%s/service", dir);
	bool ok = ensure_directory(dir) && ensure_directory(services);

	talloc_free(services);
	for (size_t i = 0; i < c->section_count; i++)
		ok = ok && write_section(dir, &c->sections[i]);
	return ok;
}

static uint64_t
unix_time_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

struct ir_collect_result *
ctl_collect_sources(
    TALLOC_CTX *mem, const char *dir, const struct ctl_sections *in_force)
{
	char *error = NULL;
	struct ir_config_files *sources = ir_config_files_read(mem,
	    talloc_asprintf(mem, "%s/fleet" FILE_SUFFIX, dir),
	    talloc_asprintf(mem, "%s/accounts" FILE_SUFFIX, dir),
	    talloc_asprintf(mem, "%s/service", dir), &error);
	struct ir_collect_result *c;

	if (sources == NULL) {
		fprintf(stderr, "ibisrailctl: %s\n", error);
		return NULL;
	}
	c = ir_collect(
	    mem, sources, in_force->sections, in_force->count, unix_time_ms());
	for (size_t i = 0; i < c->error_count; i++)
		fprintf(stderr, "ibisrailctl: %s\n", c->errors[i]);
	return c->error_count == 0 ? c : NULL;
}

size_t
ctl_print_changes(const struct ir_collect_result *c)
{
	size_t risky = 0;

	for (size_t i = 0; i < c->change_count; i++) {
		const struct ir_config_change *change = &c->changes[i];

		printf("%-6s %s: %s\n", change->risky ? "risky" : "",
		    change->section, change->text);
		risky += change->risky ? 1 : 0;
	}
	printf("%zu changes in %zu sections, %zu risky\n", c->change_count,
	    c->section_count, risky);
	return risky;
}
