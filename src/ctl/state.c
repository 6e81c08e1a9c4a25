/* ibisrailctl state: prints the state of nodes, as text or JSON. */
#include <argtable2.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdio.h>

#include "ctl/ctl.h"

#define INDENT 2

static const struct ctl_usage usage = {"state",
    "Prints the whole state of each node, as indented text or as one JSON\n"
    "object per line.",
    "0 all nodes answered, 1 a node did not answer, 2 wrong arguments."};

static void print_value(struct json_object *v, int depth);

static void
print_members(struct json_object *obj, int depth)
{
	json_object_object_foreach(obj, key, v)
	{
		printf("%*s%s:", depth * INDENT, "", key);
		print_value(v, depth);
	}
}

static void
print_items(struct json_object *list, int depth)
{
	size_t n = json_object_array_length(list);

	for (size_t i = 0; i < n; i++) {
		printf("%*s-", depth * INDENT, "");
		print_value(json_object_array_get_idx(list, i), depth);
	}
}

/* Prints a value after "name:" or "-", with lines for nested values. */
static void
print_value(struct json_object *v, int depth)
{
	switch (json_object_get_type(v)) {
	case json_type_object:
		printf(
		    "%s\n", json_object_object_length(v) == 0 ? " none" : "");
		print_members(v, depth + 1);
		break;
	case json_type_array:
		printf("%s\n", json_object_array_length(v) == 0 ? " none" : "");
		print_items(v, depth + 1);
		break;
	case json_type_null:
		printf(" -\n");
		break;
	default:
		printf(" %s\n", json_object_get_string(v));
	}
}

static int
print_state(const char *address, bool json)
{
	struct json_object *obj = NULL;
	int rc = CTL_FAILED;
	char *text;

	text = ctl_get_admin(NULL, address, "/state");
	if (text == NULL)
		return CTL_FAILED;
	obj = json_tokener_parse(text);
	if (!json_object_is_type(obj, json_type_object)) {
		fprintf(stderr,
		    "ibisrailctl: the state of %s is not JSON. Compare the "
		    "versions: ibisrailctl version %s\n",
		    address, address);
		goto out;
	}
	if (json) {
		puts(json_object_to_json_string_ext(
		    obj, JSON_C_TO_STRING_PLAIN));
	} else {
		printf("%s:\n", address);
		print_members(obj, 1);
	}
	rc = CTL_OK;
out:
	json_object_put(obj);
	talloc_free(text);
	return rc;
}

int
ctl_state(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *json =
	    arg_lit0(NULL, "json", "JSON, one node per line");
	struct arg_str *address = arg_strn(NULL, NULL, "ADDRESS:PORT", 1,
	    CTL_MAX_ADDRESSES, "admin listeners of nodes");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, json, address, end};
	int rc = CTL_OK;

	if (ctl_parse(&usage, argc, argv, table, 4, &rc) != CTL_OK)
		goto out;
	for (int i = 0; i < address->count; i++) {
		if (print_state(address->sval[i], json->count > 0) != CTL_OK)
			rc = CTL_FAILED;
	}
out:
	arg_freetable(table, 4);
	return rc;
}
