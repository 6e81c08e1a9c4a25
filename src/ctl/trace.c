/* ibisrailctl trace: follows one request through the logs of several nodes. */
#include <argtable2.h>
#include <errno.h>
#include <json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

#define MAX_FILES 256
/* Start of a node's log line; log collectors may put a prefix before it. */
#define LINE_START "{\"time\":"

static const struct ctl_usage usage = {"trace",
    "Prints the decisions on a request, in the order of the nodes' clocks,\n"
    "from the log lines in FILEs (- for standard input). ID is the caller's\n"
    "own id of its attempt, or the id of the request. Text before a log line\n"
    "is ignored. Clocks of nodes may differ by some milliseconds.",
    "0 printed, 1 nothing found or a file cannot be read, 2 wrong arguments."};

struct line {
	struct json_object *json;
};

struct trace {
	const char *id;
	bool with_child_ids; /* also ids that begin with "ID." */
	struct line *lines;
	size_t count;
};

static const char *
string_member(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_string(v)
						     : "";
}

static bool
matches_id(const struct trace *t, struct json_object *line)
{
	size_t n = strlen(t->id);
	struct json_object *fields;
	const char *id;

	if (!json_object_object_get_ex(line, "fields", &fields))
		return false;
	id = string_member(fields, "id");
	if (strncmp(id, t->id, n) != 0)
		return false;
	return id[n] == '\0' || (t->with_child_ids && id[n] == '.');
}

static void
add_matching_line(struct trace *t, const char *text)
{
	const char *start = strstr(text, LINE_START);
	struct json_object *line;

	/* Most lines belong to other requests. Skip them without parsing. */
	if (start == NULL || strstr(start, t->id) == NULL)
		return;
	line = json_tokener_parse(start);
	if (line == NULL)
		return;
	if (!matches_id(t, line)) {
		json_object_put(line);
		return;
	}
	t->lines = talloc_realloc(NULL, t->lines, struct line, t->count + 1);
	t->lines[t->count++].json = line;
}

static bool
read_file(struct trace *t, const char *name)
{
	FILE *f = strcmp(name, "-") == 0 ? stdin : fopen(name, "re");
	char *text = NULL;
	size_t capacity = 0;
	bool ok;

	if (f == NULL) {
		fprintf(stderr, "ibisrailctl: %s: %s\n", name, strerror(errno));
		return false;
	}
	while (getline(&text, &capacity, f) > 0)
		add_matching_line(t, text);
	ok = ferror(f) == 0;
	if (!ok)
		fprintf(stderr, "ibisrailctl: %s: cannot be read\n", name);
	free(text);
	if (f != stdin)
		fclose(f);
	return ok;
}

static int
compare_times(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	return strcmp(
	    string_member(x->json, "time"), string_member(y->json, "time"));
}

static void
print_line(const struct trace *t, struct json_object *line)
{
	struct json_object *fields;

	printf("%s  %-15s %-14s", string_member(line, "time"),
	    string_member(line, "host"), string_member(line, "name"));
	json_object_object_get_ex(line, "fields", &fields);
	json_object_object_foreach(fields, key, value)
	{
		if (strcmp(key, "id") == 0 && !t->with_child_ids)
			continue;
		printf(" %s=%s", key, json_object_get_string(value));
	}
	printf("\n");
}

static int
trace(struct trace *t, const struct arg_str *files)
{
	bool ok = true;

	for (int i = 0; i < files->count; i++)
		ok = read_file(t, files->sval[i]) && ok;
	if (t->count > 1)
		qsort(t->lines, t->count, sizeof(*t->lines), compare_times);
	for (size_t i = 0; i < t->count; i++) {
		print_line(t, t->lines[i].json);
		json_object_put(t->lines[i].json);
	}
	talloc_free(t->lines);
	if (t->count == 0)
		fprintf(stderr,
		    "ibisrailctl: no line of %s; lines beyond the limit per "
		    "second are left out of the log and counted "
		    "(\"suppressed\")\n",
		    t->id);
	return ok && t->count > 0 ? CTL_OK : CTL_FAILED;
}

int
ctl_trace(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *calls = arg_lit0(
	    NULL, "calls", "also the upstreams' calls for it, by their ids");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of the request");
	struct arg_str *files =
	    arg_strn(NULL, NULL, "FILE", 1, MAX_FILES, "logs of nodes");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, calls, id, files, end};
	struct trace t = {0};
	int rc = CTL_OK;

	if (ctl_parse(&usage, argc, argv, table, 5, &rc) != CTL_OK)
		goto out;
	t.id = id->sval[0];
	t.with_child_ids = calls->count > 0;
	rc = trace(&t, files);
out:
	arg_freetable(table, 5);
	return rc;
}
