/* ibisrailctl counters: prints the counters of nodes. */
#include <argtable2.h>
#include <stdio.h>

#include "ctl/ctl.h"

static const struct ctl_usage usage = {"counters",
    "Prints the counters of each node in the text exposition format that\n"
    "metric collectors read.",
    "0 all nodes answered, 1 a node did not answer, 2 wrong arguments."};

int
ctl_counters(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *address = arg_strn(NULL, NULL, "ADDRESS:PORT", 1,
	    CTL_MAX_ADDRESSES, "admin listeners of nodes");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, address, end};
	int rc = CTL_OK;
	char *text;

	if (ctl_parse(&usage, argc, argv, table, 3, &rc) != CTL_OK)
		goto out;
	for (int i = 0; i < address->count; i++) {
		text = ctl_get_admin(NULL, address->sval[i], "/counters");
		if (text == NULL)
			rc = CTL_FAILED;
		else
			fputs(text, stdout);
		talloc_free(text);
	}
out:
	arg_freetable(table, 3);
	return rc;
}
