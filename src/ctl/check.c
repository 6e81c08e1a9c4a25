/* ibisrailctl check: prints what publishing operators' files would change. */
#include <sys/stat.h>

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "io/store/store_answer.h"

#define CONFIG_PATH "/v1/config?after=0"

static const struct ctl_usage usage = {"check",
    "Checks DIR/fleet.json, DIR/accounts.json and DIR/service/*.json, and\n"
    "prints what they would change in the published configuration, which is\n"
    "read from the platform (--against) or from a directory written by\n"
    "collect (--against-dir). Without either, everything is new. Writes\n"
    "nothing.",
    "0 valid without risky changes, 1 invalid files or the published\n"
    "configuration cannot be read, 2 wrong arguments, 3 valid with risky\n"
    "changes."};

static bool
read_published(TALLOC_CTX *mem, const char *address, struct ctl_sections *to)
{
	struct ir_store_read r = {0};
	const char *error = NULL;
	char *text = ctl_http_get(mem, address, CONFIG_PATH,
	    "Check that this is the address of \"platform\" in the nodes' "
	    "settings.");

	if (text == NULL)
		return false;
	if (ir_store_answer_parse(mem, text, strlen(text), &r, &error) != 0) {
		fprintf(stderr,
		    "ibisrailctl: answer of %s is no configuration: %s\n",
		    address, error);
		return false;
	}
	to->sections = talloc_memdup(
	    mem, r.sections, r.section_count * sizeof(*r.sections));
	to->count = r.section_count;
	return true;
}

static bool
read_collected(TALLOC_CTX *mem, const char *dir, struct ctl_sections *to)
{
	struct stat s;

	if (stat(dir, &s) != 0 || !S_ISDIR(s.st_mode)) {
		fprintf(stderr, "ibisrailctl: %s: no such directory\n", dir);
		return false;
	}
	return ctl_sections_read(mem, dir, to);
}

static int
check_files(const char *dir, const char *against, const char *against_dir)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ctl_sections in_force = {0};
	struct ir_collect_result *c;
	int rc = CTL_FAILED;

	if (against != NULL && !read_published(mem, against, &in_force))
		goto out;
	if (against_dir != NULL && !read_collected(mem, against_dir, &in_force))
		goto out;
	c = ctl_collect_sources(mem, dir, &in_force);
	if (c != NULL)
		rc = ctl_print_changes(c) > 0 ? CTL_RISKY : CTL_OK;
out:
	talloc_free(mem);
	return rc;
}

int
ctl_check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *against = arg_str0(
	    NULL, "against", "ADDRESS:PORT", "address of the platform");
	struct arg_str *against_dir = arg_str0(
	    NULL, "against-dir", "OUTDIR", "a directory written by collect");
	struct arg_str *dir = arg_str1(NULL, NULL, "DIR", "operators' files");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, against, against_dir, dir, end};
	int rc = CTL_OK;

	if (ctl_parse(&usage, argc, argv, table, 5, &rc) != CTL_OK)
		goto out;
	if (against->count > 0 && against_dir->count > 0) {
		fprintf(stderr, "ibisrailctl: --against or --against-dir, "
				"not both\n");
		rc = CTL_USAGE;
		goto out;
	}
	rc = check_files(dir->sval[0],
	    against->count > 0 ? against->sval[0] : NULL,
	    against_dir->count > 0 ? against_dir->sval[0] : NULL);
out:
	arg_freetable(table, 5);
	return rc;
}
