/* Sections: generations, revisions, tombstones, order of arrival. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "host/section.h"

#define SECTION_PADDING 4096

struct fixture {
	TALLOC_CTX *mem;
	struct ir_sections *s;
	char *error;
};

static struct fixture
start(void)
{
	struct fixture f = {talloc_new(NULL), NULL, NULL};

	f.s = ir_sections_new(f.mem);
	return f;
}

static char *
service_text(TALLOC_CTX *mem, uint64_t generation, unsigned slots)
{
	return talloc_asprintf(mem,
	    "{\"generation\":%u,\"name\":\"s\",\"slots\":%u,\"routes\":[]}",
	    (unsigned)generation, slots);
}

static char *
host_text(TALLOC_CTX *mem, const char *name, const char *service, unsigned port,
    const char *state)
{
	return talloc_asprintf(mem,
	    "{\"name\":\"%s\",\"service\":\"%s\",\"region\":\"r1\","
	    "\"zone\":\"z%u\",\"address\":\"127.0.0.1\",\"peer_port\":%u,"
	    "\"caller_port\":1,\"state\":\"%s\"}",
	    name, service, port % 4, port, state);
}

static enum ir_section_result
put(struct fixture *f, const char *name, uint64_t revision, const char *text)
{
	struct ir_section in = {(char *)name, revision, 0, (char *)text};

	return ir_sections_put(f->s, f->mem, &in, &f->error);
}

static unsigned
slots(struct fixture *f)
{
	const struct ir_service *s;

	s = ir_view_service(ir_sections_view(f->s), "s");
	return s == NULL ? 0 : s->slots;
}

static void
test_higher_generation_replaces(void **state)
{
	struct fixture f = start();
	char *g2 = service_text(f.mem, 2, 20);

	assert_int_equal(put(&f, "service/s", 5, g2), IR_SECTION_APPLIED);
	assert_int_equal(put(&f, "service/s", 6, g2), IR_SECTION_NOT_NEWER);
	assert_int_equal(put(&f, "service/s", 9, service_text(f.mem, 1, 10)),
	    IR_SECTION_NOT_NEWER);
	assert_int_equal(slots(&f), 20);
	assert_int_equal(put(&f, "service/s", 3, service_text(f.mem, 3, 30)),
	    IR_SECTION_APPLIED);
	assert_int_equal(slots(&f), 30);
	assert_int_equal(put(&f, "service/s", 10, "{"), IR_SECTION_REFUSED);
	assert_string_equal(f.error, "line 1, column 2: text ends too early");
	assert_int_equal(slots(&f), 30);
	assert_int_equal(put(&f, "service/s", 0, g2), IR_SECTION_REFUSED);
	assert_int_equal(put(&f, "tax/s", 1, g2), IR_SECTION_REFUSED);
	talloc_free(f.mem);
}

static char *
padded_service(TALLOC_CTX *mem, const char *name, uint64_t generation)
{
	return talloc_asprintf(mem,
	    "{\"generation\":%u,\"name\":\"%s\",\"slots\":%u,\"routes\":[]}"
	    "%*s",
	    (unsigned)generation, name, (unsigned)generation, SECTION_PADDING,
	    "");
}

/* Each section is small enough; all together would fill the process. */
static void
test_sections_together_stay_within_their_limit(void **state)
{
	struct fixture f = start();
	struct ir_section *all;
	bool full;

	ir_sections_set_max_bytes(
	    f.s, 2 * SECTION_PADDING + SECTION_PADDING / 2);
	put(&f, "service/s", 1, padded_service(f.mem, "s", 2));
	put(&f, "service/t", 2, padded_service(f.mem, "t", 2));
	assert_int_equal(put(&f, "service/u", 3, padded_service(f.mem, "u", 2)),
	    IR_SECTION_REFUSED);
	assert_non_null(strstr(f.error, "service/u: all sections together"));
	/* A new text in place of another is within the limit. */
	assert_int_equal(put(&f, "service/s", 4, padded_service(f.mem, "s", 3)),
	    IR_SECTION_APPLIED);
	assert_int_equal(slots(&f), 3);
	/* A list of all sections names it: peers must not remove theirs. */
	ir_sections_raise_revisions(f.s, 4, 4);
	assert_int_equal(ir_sections_since(f.s, f.mem, 0, 0, &all, &full), 3);
	/* Once there is room, the next text is taken. */
	put(&f, "service/t", 5, "");
	assert_int_equal(put(&f, "service/u", 6, padded_service(f.mem, "u", 3)),
	    IR_SECTION_APPLIED);
	talloc_free(f.mem);
}

static void
test_two_texts_of_one_generation(void **state)
{
	struct fixture f = start();
	char *a = service_text(f.mem, 2, 20), *b = service_text(f.mem, 2, 21);

	put(&f, "service/s", 5, a);
	assert_int_equal(put(&f, "service/s", 7, b), IR_SECTION_APPLIED);
	assert_string_equal(f.error,
	    "service/s: generation 2 was published with two texts, that of "
	    "revision 7 is in force");
	assert_int_equal(put(&f, "service/s", 6, a), IR_SECTION_REFUSED);
	assert_non_null(f.error);
	assert_int_equal(slots(&f), 21);
	talloc_free(f.mem);
}

static void
test_two_texts_of_one_revision(void **state)
{
	struct fixture f = start(), g = start();
	char *a = service_text(f.mem, 2, 20), *b = service_text(f.mem, 2, 21);

	put(&f, "service/s", 5, a);
	put(&f, "service/s", 5, b);
	put(&g, "service/s", 5, b);
	put(&g, "service/s", 5, a);
	assert_int_equal(slots(&f), slots(&g));
	talloc_free(f.mem);
	talloc_free(g.mem);
}

static void
test_removed_service_needs_a_higher_generation(void **state)
{
	struct fixture f = start();
	char *g2 = service_text(f.mem, 2, 20);

	put(&f, "service/s", 5, g2);
	assert_int_equal(put(&f, "service/s", 4, ""), IR_SECTION_NOT_NEWER);
	assert_int_equal(put(&f, "service/s", 6, ""), IR_SECTION_APPLIED);
	assert_int_equal(slots(&f), 0);
	assert_int_equal(put(&f, "service/s", 8, g2), IR_SECTION_NOT_NEWER);
	assert_int_equal(slots(&f), 0);
	assert_int_equal(put(&f, "service/s", 9, service_text(f.mem, 3, 30)),
	    IR_SECTION_APPLIED);
	assert_int_equal(slots(&f), 30);
	talloc_free(f.mem);
}

/*
 * A removal with a generation also removes a text of that generation that was
 * received at a higher revision.
 */
static void
test_removal_of_a_generation(void **state)
{
	struct fixture f = start();
	struct ir_section removal = {(char *)"service/s", 7, 2, (char *)""};

	put(&f, "service/s", 9, service_text(f.mem, 2, 20));
	assert_int_equal(ir_sections_put(f.s, f.mem, &removal, &f.error),
	    IR_SECTION_APPLIED);
	assert_int_equal(slots(&f), 0);
	put(&f, "service/s", 10, service_text(f.mem, 3, 30));
	assert_int_equal(slots(&f), 30);
	talloc_free(f.mem);
}

/* All sections and tombstones of a node, as text. */
static char *
dump_sections(TALLOC_CTX *mem, struct ir_sections *s)
{
	struct ir_section *list;
	char *out = talloc_strdup(mem, "");
	bool full;
	size_t n = ir_sections_since(s, mem, 0, 0, &list, &full);

	for (size_t i = 0; i < n; i++)
		out = talloc_asprintf_append(out, "%s %u %u %s\n", list[i].name,
		    (unsigned)list[i].revision, (unsigned)list[i].generation,
		    list[i].text);
	return out;
}

#define UPDATES 6

static void
shuffle(struct ir_section *updates, size_t count)
{
	for (size_t i = count; i > 1; i--) {
		size_t j = (size_t)rand() % i;
		struct ir_section t = updates[i - 1];

		updates[i - 1] = updates[j];
		updates[j] = t;
	}
}

/*
 * Random updates and removals of one name at rising revisions, some of them
 * with different texts of one generation.
 */
static void
make_updates(TALLOC_CTX *mem, bool host, struct ir_section *updates)
{
	for (size_t i = 0; i < UPDATES; i++) {
		struct ir_section *in = &updates[i];

		in->name = (char *)(host ? "host/h1" : "service/s");
		in->revision = i + 1;
		in->generation = 0;
		in->text = (char *)"";
		if (rand() % 4 == 0) {
			in->generation = host ? 0 : (unsigned)rand() % 3;
			continue;
		}
		if (host)
			in->text = host_text(
			    mem, "h1", "s", 1 + (unsigned)rand() % 3, "live");
		else
			in->text = service_text(mem, 1 + (unsigned)rand() % 3,
			    1 + (unsigned)rand() % 2);
	}
}

static void
test_any_order_has_the_same_result(void **state)
{
	srand(11);
	for (int i = 0; i < 1500; i++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		struct ir_section updates[UPDATES];
		char *first = NULL, *error;

		make_updates(mem, i % 3 == 0, updates);
		for (int order = 0; order < 20; order++) {
			struct ir_sections *s = ir_sections_new(mem);

			for (size_t j = 0; j < UPDATES; j++)
				ir_sections_put(s, mem, &updates[j], &error);
			if (first == NULL)
				first = dump_sections(mem, s);
			assert_string_equal(dump_sections(mem, s), first);
			talloc_free(s);
			shuffle(updates, UPDATES);
		}
		talloc_free(mem);
	}
}

/* Nodes that read the store at different times exchange their differences. */
static void
test_nodes_converge_by_differences(void **state)
{
	srand(12);
	for (int i = 0; i < 500; i++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		struct ir_section updates[UPDATES], *list;
		struct ir_sections *s[2];
		char *error;
		bool full;
		size_t n;

		make_updates(mem, i % 2 == 0, updates);
		for (size_t k = 0; k < 2; k++) {
			s[k] = ir_sections_new(mem);
			for (size_t j = 0; j < (k == 0 ? UPDATES : 3); j++)
				ir_sections_put(s[k], mem, &updates[j], &error);
			ir_sections_raise_revisions(
			    s[k], k == 0 ? UPDATES : 3, k == 0 ? UPDATES : 3);
		}
		n = ir_sections_since(s[0], mem,
		    ir_sections_config_revision(s[1]),
		    ir_sections_list_revision(s[1]), &list, &full);
		assert_false(full);
		for (size_t j = 0; j < n; j++)
			ir_sections_put(s[1], mem, &list[j], &error);
		assert_string_equal(
		    dump_sections(mem, s[1]), dump_sections(mem, s[0]));
		talloc_free(mem);
	}
}

static bool
is_evacuated(struct fixture *f)
{
	return ir_view_zone_is_evacuated(ir_sections_view(f->s), "z1");
}

/* A full list without the zone, as of this revision. */
static void
remove_zones(struct fixture *f, uint64_t revision)
{
	ir_sections_remove_absent(f->s, true, NULL, 0, revision);
}

#define EVACUATED "{\"name\":\"z1\",\"evacuated\":true}"

static void
test_latest_revision_of_a_zone_holds_in_any_order(void **state)
{
	struct fixture f = start();

	put(&f, "host/h1", 1, host_text(f.mem, "h1", "s", 1, "live"));
	put(&f, "zone/z1", 7, "");
	put(&f, "zone/z1", 5, EVACUATED);
	assert_false(is_evacuated(&f));
	put(&f, "zone/z1", 9, EVACUATED);
	put(&f, "zone/z1", 8, "");
	assert_true(is_evacuated(&f));
	assert_true(ir_view_host(ir_sections_view(f.s), "h1")->evacuated);
	put(&f, "zone/z1", 9, EVACUATED);
	put(&f, "zone/z1", 10, "");
	put(&f, "zone/z1", 9, EVACUATED);
	assert_false(is_evacuated(&f));
	assert_false(ir_view_host(ir_sections_view(f.s), "h1")->evacuated);
	put(&f, "zone/z1", 11, EVACUATED);
	remove_zones(&f, 10);
	assert_true(is_evacuated(&f));
	remove_zones(&f, 12);
	assert_false(is_evacuated(&f));
	talloc_free(f.mem);
}

/* A repeat with an Idempotency-Key whose host moved would run twice. */
static void
test_evacuation_counts_as_a_change_of_the_hosts(void **state)
{
	struct fixture f = start();

	put(&f, "zone/z1", 5, EVACUATED);
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 1);
	assert_int_equal(
	    put(&f, "zone/z1", 5, EVACUATED), IR_SECTION_NOT_NEWER);
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 1);
	put(&f, "zone/z1", 6, "");
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 2);
	/* Evacuated and returned between two updates. */
	put(&f, "zone/z1", 8, "");
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 3);
	talloc_free(f.mem);
}

static void
test_host_changes(void **state)
{
	struct fixture f = start();
	char *live = host_text(f.mem, "h1", "s", 1, "live");

	assert_int_equal(ir_sections_host_changes(f.s, "s"), 0);
	put(&f, "host/h1", 5, live);
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 1);
	assert_int_equal(put(&f, "host/h1", 5, live), IR_SECTION_NOT_NEWER);
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 1);
	put(&f, "host/h1", 6, host_text(f.mem, "h1", "s", 1, "leaving"));
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 2);
	put(&f, "host/h1", 7, "");
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 3);
	assert_int_equal(ir_sections_host_changes(f.s, "t"), 0);
	/* Added and removed between two updates, perhaps for any service. */
	put(&f, "host/h1", 9, "");
	put(&f, "host/h2", 10, "");
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 5);
	assert_int_equal(ir_sections_host_changes(f.s, "t"), 2);
	put(&f, "host/h3", 11, host_text(f.mem, "h3", "s", 1, "live"));
	put(&f, "host/h3", 12, host_text(f.mem, "h3", "t", 1, "live"));
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 7);
	assert_int_equal(ir_sections_host_changes(f.s, "t"), 3);
	ir_sections_raise_revisions(f.s, 0, 12);
	ir_sections_remove_absent(f.s, true, NULL, 0, 20);
	assert_int_equal(ir_sections_host_changes(f.s, "s"), 8);
	assert_int_equal(ir_sections_host_changes(f.s, "t"), 5);
	talloc_free(f.mem);
}

static void
test_remove_absent(void **state)
{
	static const char *const names[] = {"host/h2", "host/h1"};
	struct fixture f = start();
	const struct ir_view *v;

	put(&f, "service/s", 1, service_text(f.mem, 1, 9));
	put(&f, "host/h1", 2, host_text(f.mem, "h1", "s", 1, "live"));
	put(&f, "host/h3", 3, host_text(f.mem, "h3", "s", 3, "live"));
	put(&f, "host/h4", 9, host_text(f.mem, "h4", "s", 4, "live"));
	ir_sections_remove_absent(f.s, true, names, 2, 8);
	v = ir_sections_view(f.s);
	assert_non_null(ir_view_host(v, "h1"));
	assert_null(ir_view_host(v, "h3"));
	assert_non_null(ir_view_host(v, "h4"));
	assert_non_null(ir_view_service(v, "s"));
	assert_int_equal(
	    put(&f, "host/h3", 7, host_text(f.mem, "h3", "s", 3, "live")),
	    IR_SECTION_NOT_NEWER);
	talloc_free(f.mem);
}

/* A name whose only text is bad stays listed, so that no peer removes it. */
static void
test_bad_text_is_listed_to_peers(void **state)
{
	struct fixture f = start();
	struct ir_section *list;
	bool full;

	assert_int_equal(put(&f, "service/s", 9, "{"), IR_SECTION_REFUSED);
	assert_int_equal(slots(&f), 0);
	assert_int_equal(ir_sections_since(f.s, f.mem, 0, 0, &list, &full), 1);
	assert_string_equal(list[0].name, "service/s");
	assert_int_equal(put(&f, "service/s", 5, service_text(f.mem, 1, 9)),
	    IR_SECTION_APPLIED);
	assert_int_equal(slots(&f), 9);
	talloc_free(f.mem);
}

static void
check_evicted_tombstones(const char *prefix, bool hosts)
{
	struct fixture f = start();
	struct ir_section *list;
	const char *first = talloc_asprintf(f.mem, "%s0", prefix);
	size_t n;
	bool full;

	put(&f, "host/live", 1, host_text(f.mem, "live", "s", 1, "live"));
	for (unsigned i = 0; i < IR_MAX_TOMBSTONES + 2; i++)
		put(&f, talloc_asprintf(f.mem, "%s%u", prefix, i), 2 + i, "");
	n = ir_sections_since(
	    f.s, f.mem, hosts ? 9 : 2, hosts ? 2 : 9, &list, &full);
	assert_true(full);
	assert_int_equal(n, 1);
	assert_string_equal(list[0].name, "host/live");
	n = ir_sections_since(
	    f.s, f.mem, hosts ? 9 : 3, hosts ? 3 : 9, &list, &full);
	assert_false(full);
	assert_int_equal(n, IR_MAX_TOMBSTONES);
	/* A section whose tombstone was evicted is not added again. */
	assert_int_equal(put(&f, first, 1,
			     hosts ? host_text(f.mem, first + 5, "s", 2, "live")
				   : "{\"generation\":1,\"name\":\"s0\","
				     "\"slots\":1,\"routes\":[]}"),
	    IR_SECTION_NOT_NEWER);
	talloc_free(f.mem);
}

static void
test_evicted_tombstones_force_a_full_answer(void **state)
{
	check_evicted_tombstones("host/h", true);
	check_evicted_tombstones("service/s", false);
}

/* A difference that does not fit in one message is answered in full. */
static void
test_large_difference_is_full(void **state)
{
	struct fixture f = start();
	struct ir_section *list;
	bool full;

	put(&f, "host/live", 1, host_text(f.mem, "live", "s", 1, "live"));
	for (unsigned i = 0; i < IR_MAX_TOMBSTONES; i++)
		put(&f, talloc_asprintf(f.mem, "host/h%u", i), 2 + i, "");
	assert_int_equal(ir_sections_since(f.s, f.mem, 0, 0, &list, &full), 1);
	assert_true(full);
	assert_int_equal(
	    ir_sections_since(f.s, f.mem, 0, 1, &list, &full), IR_MAX_SECTIONS);
	assert_false(full);
	talloc_free(f.mem);
}

static void
test_revisions_never_go_down(void **state)
{
	struct fixture f = start();

	ir_sections_raise_revisions(f.s, 5, 6);
	ir_sections_raise_revisions(f.s, 4, 7);
	assert_int_equal(ir_sections_config_revision(f.s), 5);
	assert_int_equal(ir_sections_list_revision(f.s), 7);
	assert_int_equal(ir_sections_view(f.s)->config_revision, 5);
	assert_int_equal(ir_sections_view(f.s)->list_revision, 7);
	talloc_free(f.mem);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_higher_generation_replaces),
	    cmocka_unit_test(test_sections_together_stay_within_their_limit),
	    cmocka_unit_test(test_two_texts_of_one_generation),
	    cmocka_unit_test(test_two_texts_of_one_revision),
	    cmocka_unit_test(test_removed_service_needs_a_higher_generation),
	    cmocka_unit_test(test_removal_of_a_generation),
	    cmocka_unit_test(test_any_order_has_the_same_result),
	    cmocka_unit_test(test_nodes_converge_by_differences),
	    cmocka_unit_test(test_latest_revision_of_a_zone_holds_in_any_order),
	    cmocka_unit_test(test_evacuation_counts_as_a_change_of_the_hosts),
	    cmocka_unit_test(test_host_changes),
	    cmocka_unit_test(test_remove_absent),
	    cmocka_unit_test(test_bad_text_is_listed_to_peers),
	    cmocka_unit_test(test_evicted_tombstones_force_a_full_answer),
	    cmocka_unit_test(test_large_difference_is_full),
	    cmocka_unit_test(test_revisions_never_go_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
