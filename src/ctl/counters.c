/* ibisrailctl counters: the counters of nodes as they are collected. */
#include <argtable2.h>
#include <stdio.h>

#include "ctl/ctl.h"

static const struct ctl_usage usage = {"counters",
    "Prints the counters of each node in the text exposition format that\n"
    "metric collectors read.",
    "0 all answered, 1 one did not, 2 wrong arguments."};

int
ctl_counters(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "this text");
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
