/* Output, files and exit codes of ibisrailctl and ibisraild. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <sys/wait.h>

#include <cmocka.h>
#include <fcntl.h>
#include <limits.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_OUTPUT_BYTES 65536
#define MAX_WORDS 16

extern char **environ;

/* Standard output and error of the last command. */
static char output[MAX_OUTPUT_BYTES];
static char root[PATH_MAX];
static char dir[] = "/tmp/test_ctl.XXXXXX";

/* Runs a command line and checks its exit code and a part of its output. */
static void
expect(const char *line, int code, const char *part)
{
	char words[512], *argv[MAX_WORDS] = {words};
	posix_spawn_file_actions_t actions;
	size_t used = 0, count = 0;
	int fds[2], status;
	ssize_t n;
	pid_t pid;

	snprintf(words, sizeof(words), "%s", line);
	for (char *w = strtok(words, " "); w != NULL; w = strtok(NULL, " "))
		argv[count++] = w;
	assert_int_equal(pipe2(fds, O_CLOEXEC), 0);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
	posix_spawn_file_actions_adddup2(&actions, fds[1], STDOUT_FILENO);
	posix_spawn_file_actions_adddup2(&actions, fds[1], STDERR_FILENO);
	assert_int_equal(
	    posix_spawnp(&pid, argv[0], &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	close(fds[1]);
	while ((n = read(fds[0], output + used, sizeof(output) - 1 - used)) > 0)
		used += (size_t)n;
	output[used] = '\0';
	close(fds[0]);
	assert_int_equal(waitpid(pid, &status, 0), pid);
	if (!WIFEXITED(status) || WEXITSTATUS(status) != code ||
	    strstr(output, part) == NULL)
		fail_msg("%s: status %d instead of %d, or no \"%s\" in: %s",
		    line, status, code, part, output);
}

static void
write_file(const char *name, const char *text)
{
	FILE *f = fopen(name, "we");

	assert_non_null(f);
	fputs(text, f);
	assert_int_equal(fclose(f), 0);
}

static int
create_directory(void **state)
{
	char path[PATH_MAX + 8];
	const char *b = getenv("BUILD");

	if (realpath(b != NULL ? b : "build", root) == NULL)
		return -1;
	snprintf(path, sizeof(path), "%s:/bin", root);
	if (setenv("PATH", path, 1) != 0 || realpath(".", root) == NULL ||
	    mkdtemp(dir) == NULL || chdir(dir) != 0)
		return -1;
	expect("mkdir -p in/service", 0, "");
	return 0;
}

static int
write_sources(void **state)
{
	write_file("in/fleet.json",
	    "{\"store_region\": \"r\", \"link_bytes_per_s\": 1000,\n"
	    " \"unconfirmed_view\": \"refuse\"}");
	write_file("in/accounts.json", "{\"accounts\": []}");
	write_file("in/service/s.json",
	    "{\"name\": \"s\", \"slots\": 4, \"routes\": []}");
	return 0;
}

static int
remove_files(void **state)
{
	char line[64];

	snprintf(line, sizeof(line), "rm -r %s", dir);
	expect(line, 0, "");
	return chdir(root);
}

static void
test_every_command_has_help_and_exit_codes(void **state)
{
	static const char *const names[] = {"state", "top", "counters",
	    "explain", "trace", "key", "collect", "check", "version"};
	char line[64];

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		snprintf(line, sizeof(line), "ibisrailctl %s --help", names[i]);
		expect(line, 0, "Exit codes: 0 ");
		expect(line, 0, "2 wrong arguments");
		snprintf(line, sizeof(line), "ibisrailctl %s --no", names[i]);
		expect(line, 2, "--help");
		expect("ibisrailctl --help", 0, names[i]);
	}
	expect("ibisrailctl no-such", 2, "no command");
	expect("ibisraild", 2, "-c FILE is missing");
}

#define CHECK "ibisrailctl check in"
#define CHECK_OUT "ibisrailctl check in --against-dir out"
#define COLLECT "ibisrailctl collect in -o out"

static void
test_changes_are_shown_and_collected(void **state)
{
	expect(CHECK, 0, "3 changes in 3 sections, 0 risky");
	expect(COLLECT, 0, "service/s: added");
	expect(CHECK_OUT, 0, "0 changes in 0 sections, 0 risky");
	write_file("in/service/s.json",
	    "{\"name\": \"s\", \"slots\": 5, \"routes\": []}");
	write_file("in/service/t.json",
	    "{\"name\": \"t\", \"slots\": 5, \"routes\": []}");
	expect(CHECK_OUT, 3, "risky  service/s: slots raised from 4 to 5");
	expect(COLLECT, 0, "service/t: added");
	remove("in/service/t.json");
	expect(CHECK_OUT, 3, "risky  service/t: removed");
	expect(COLLECT, 0, "1 changes in 1 sections, 1 risky");
	expect(CHECK_OUT, 0, "0 changes");
	write_file("out/fleet.json", "7");
	expect(CHECK_OUT, 3, "what is published cannot be read");
}

static void
test_invalid_files_are_refused(void **state)
{
	write_file("in/fleet.json", "{\"store_region\": \"r\",\n\n 7}");
	write_file("in/service/s.json",
	    "{\"name\": \"s\",\n\"slots\": \"4\", \"routes\": []}");
	expect("ibisrailctl collect in -o new", 1, "in/fleet.json: line 3, ");
	expect(CHECK, 1, "in/service/s.json: line 2: slots: must be an");
	assert_int_equal(access("new", F_OK), -1);
	write_sources(state);
	remove("in/accounts.json");
	expect(CHECK, 1, "in/accounts.json: No such file or directory");
	write_sources(state);
	expect(CHECK " --against-dir new", 1, "new: no such directory");
	expect(CHECK " --against 127.0.0.1:1", 1, "does not answer");
	expect("ibisrailctl collect in -o in", 2, "OUTDIR must not be DIR");
	expect(CHECK_OUT " --against 127.0.0.1:1", 2, "not both");
	expect("ibisrailctl collect in -o in/fleet.json", 1, "in/fleet.json");
}

/* Commands from the documentation that need no running fleet. */
static void
test_documented_commands(void **state)
{
	assert_int_equal(chdir(root), 0);
	expect("ibisrailctl check conf", 0, "5 changes in 5 sections");
	expect("ibisrailctl explain ring-full", 0, "105 ring-full (warning)");
	expect("ibisrailctl key new", 0, "digest ");
	expect("ibisrailctl key digest", 1, "no key on standard input");
	expect("ibisrailctl version", 0, "ibisrailctl ");
	expect("ibisraild -c conf/settings.json --check", 0, "");
	assert_int_equal(chdir(dir), 0);
}

/* Lines of two nodes out of order, one with the prefix of a log collector. */
static void
test_trace_sorts_matching_lines(void **state)
{
	static const char lines[] =
	    "2.0 h2 {\"time\":\"2026-01-01T00:00:00.020Z\",\"host\":\"h2\","
	    "\"name\":\"gate-took\",\"fields\":{\"id\":\"7f\","
	    "\"queued\":3}}\n"
	    "{\"time\":\"2026-01-01T00:00:00.010Z\",\"host\":\"h1\","
	    "\"name\":\"attempt-sent\",\"fields\":{\"id\":\"7f\"}}\n"
	    "{\"time\":\"2026-01-01T00:00:00.015Z\",\"host\":\"h1\","
	    "\"name\":\"attempt-sent\",\"fields\":{\"id\":\"7f.1\"}}\n"
	    "not a line of a node 7f\n"
	    "{\"time\":\"2026-01-01T00:00:00.011Z\",\"host\":\"h1\","
	    "\"name\":\"attempt-sent\",\"fields\":{\"id\":\"7f0\"}}\n";
	FILE *f = fopen("log", "we");

	assert_non_null(f);
	fputs(lines, f);
	fclose(f);
	expect("ibisrailctl trace 7f log", 0, "attempt-sent");
	assert_true(strstr(output, "attempt-sent") <
		    strstr(output, "gate-took      queued=3"));
	assert_null(strstr(output, "00.015Z"));
	assert_null(strstr(output, "00.011Z"));
	expect("ibisrailctl trace --calls 7f log", 0, "00.015Z");
	expect("ibisrailctl trace 8 log", 1, "no line of 8");
	expect("ibisrailctl trace 8 none", 1, "No such file");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_every_command_has_help_and_exit_codes),
	    cmocka_unit_test_setup(
		test_changes_are_shown_and_collected, write_sources),
	    cmocka_unit_test_setup(
		test_invalid_files_are_refused, write_sources),
	    cmocka_unit_test(test_trace_sorts_matching_lines),
	    cmocka_unit_test(test_documented_commands),
	};

	return cmocka_run_group_tests(tests, create_directory, remove_files);
}
