/* ibisrailctl explain: prints what a log event means and what to do. */
#include <argtable2.h>
#include <stdio.h>

#include "ctl/ctl.h"
#include "log/catalogue.h"

static const struct ctl_usage usage = {"explain",
    "Explains a log event, by its number or name.",
    "0 explained, 1 no such event, 2 wrong arguments."};

static int
explain_event(const char *name)
{
	const struct ir_event_info *e = ir_event_find(name);
	const struct ir_event_text *t;

	if (e == NULL) {
		fprintf(stderr,
		    "ibisrailctl: no event \"%s\"; ibisrailctl explain --all "
		    "lists them\n",
		    name);
		return CTL_FAILED;
	}
	t = ir_event_text(e->event);
	printf("%d %s (%s)\n\n", e->event, e->name, ir_level_name(e->level));
	if (t->fields[0] != '\0')
		printf("Fields: %s.\n\n", t->fields);
	printf("%s\n\nWhat to do: %s\n", t->meaning, t->action);
	return CTL_OK;
}

static int
explain_all(void)
{
	char *text = ir_catalogue_markdown(NULL);

	fputs(text, stdout);
	talloc_free(text);
	return CTL_OK;
}

int
ctl_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *all = arg_lit0(NULL, "all", "all events, as Markdown");
	struct arg_str *event =
	    arg_str0(NULL, NULL, "EVENT", "number or name of the event");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, all, event, end};
	int rc = CTL_OK;

	if (ctl_parse(&usage, argc, argv, table, 4, &rc) != CTL_OK)
		goto out;
	if (all->count > 0) {
		rc = explain_all();
	} else if (event->count > 0) {
		rc = explain_event(event->sval[0]);
	} else {
		fprintf(stderr, "ibisrailctl: which event? Give a number or a "
				"name, or --all.\n");
		rc = CTL_USAGE;
	}
out:
	arg_freetable(table, 4);
	return rc;
}
