/* ibisrailctl collect: builds sections from operators' files. */
#include <sys/stat.h>

#include <argtable2.h>
#include <stdio.h>

#include "ctl/ctl.h"

static const struct ctl_usage usage = {"collect",
    "Reads DIR/fleet.json, DIR/accounts.json and DIR/service/*.json, checks\n"
    "them and writes each section that differs from the one in OUTDIR, with\n"
    "a generation. A removed service leaves an empty file, which removes it\n"
    "when published. Publishes nothing.",
    "0 written or nothing to write, 1 invalid files or not written,\n"
    "2 wrong arguments."};

static bool
same_directory(const char *a, const char *b)
{
	struct stat x, y;

	return stat(a, &x) == 0 && stat(b, &y) == 0 && x.st_dev == y.st_dev &&
	       x.st_ino == y.st_ino;
}

static int
collect(const char *dir, const char *out_dir)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ctl_sections in_force;
	struct ir_collect_result *c;
	int rc = CTL_FAILED;

	if (!ctl_sections_read(mem, out_dir, &in_force))
		goto out;
	c = ctl_collect_sources(mem, dir, &in_force);
	if (c == NULL || !ctl_sections_write(out_dir, c))
		goto out;
	ctl_print_changes(c);
	rc = CTL_OK;
out:
	talloc_free(mem);
	return rc;
}

int
ctl_collect(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *out_dir =
	    arg_str1("o", NULL, "OUTDIR", "directory for the sections");
	struct arg_str *dir = arg_str1(NULL, NULL, "DIR", "operators' files");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, out_dir, dir, end};
	int rc = CTL_OK;

	if (ctl_parse(&usage, argc, argv, table, 4, &rc) != CTL_OK)
		goto out;
	if (same_directory(dir->sval[0], out_dir->sval[0])) {
		fprintf(stderr, "ibisrailctl: OUTDIR must not be DIR\n");
		rc = CTL_USAGE;
	} else {
		rc = collect(dir->sval[0], out_dir->sval[0]);
	}
out:
	arg_freetable(table, 4);
	return rc;
}
