/* ibisrailctl version: prints its own version and those of nodes. */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "ibisrail/version.h"

static const struct ctl_usage usage = {"version",
    "Prints the version of ibisrailctl and of each node named.",
    "0 all nodes answered, 1 a node did not answer, 2 wrong arguments."};

static int
print_version(const char *address)
{
	char *text = ctl_get_admin(NULL, address, "/version");

	if (text == NULL)
		return CTL_FAILED;
	printf("%s %.*s\n", address, (int)strcspn(text, "\r\n"), text);
	talloc_free(text);
	return CTL_OK;
}

int
ctl_version(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *address = arg_strn(NULL, NULL, "ADDRESS:PORT", 0,
	    CTL_MAX_ADDRESSES, "admin listeners of nodes");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, address, end};
	int rc = CTL_OK;

	if (ctl_parse(&usage, argc, argv, table, 3, &rc) != CTL_OK)
		goto out;
	printf("ibisrailctl %s\n", IR_VERSION);
	for (int i = 0; i < address->count; i++) {
		if (print_version(address->sval[i]) != CTL_OK)
			rc = CTL_FAILED;
	}
out:
	arg_freetable(table, 3);
	return rc;
}
