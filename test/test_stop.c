/* A node's process that has to stop while something holds its threads up. */
#include <sys/wait.h>

#include <fcntl.h>
#include <libgen.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <talloc.h>

#define NAME_BYTES 64
#define LINE_BYTES 4096
/* Below the log's limit of lines a second. */
#define RELOADS 10
/* Ends a test that hangs; far above the time that any of them needs. */
#define LIMIT_S 60

static const char *daemon_path;

struct node {
	pid_t pid;
	FILE *out;
	int err_read_fd;
	int err_write_fd; /* also the process's standard error */
	char settings[NAME_BYTES];
};

/* The ports of upstream and store are those of no listener. */
static void
write_settings(struct node *n)
{
	FILE *f;
	int fd;

	snprintf(n->settings, sizeof(n->settings), "/tmp/ibisrail-stop-XXXXXX");
	fd = mkstemp(n->settings);
	assert_true(fd >= 0);
	f = fdopen(fd, "w");
	fputs("{\"host\":\"s1\",\"service\":\"s\",\"region\":\"r\","
	      "\"zone\":\"z\",\"callers\":\"127.0.0.1:0\","
	      "\"peers\":\"127.0.0.1:0\",\"admin\":\"127.0.0.1:0\","
	      "\"upstream\":\"127.0.0.1:1\",\"platform\":\"127.0.0.1:1\","
	      "\"slots\":1,\"upstream_connections\":10,"
	      "\"drain_ms\":500,\"leave_ms\":400}\n",
	    f);
	fclose(f);
}

static void
wait_for_event(struct node *n, const char *name)
{
	char line[LINE_BYTES];

	while (fgets(line, sizeof(line), n->out) != NULL) {
		if (strstr(line, name) != NULL)
			return;
	}
	fail_msg("%s is not logged", name);
}

static struct node *
start_node(void)
{
	struct node *n = talloc_zero(NULL, struct node);
	int out[2], err[2];

	write_settings(n);
	assert_int_equal(pipe(out), 0);
	assert_int_equal(pipe(err), 0);
	n->pid = fork();
	if (n->pid == 0) {
		dup2(out[1], STDOUT_FILENO);
		dup2(err[1], STDERR_FILENO);
		close(out[0]);
		close(out[1]);
		close(err[0]);
		close(err[1]);
		alarm(LIMIT_S);
		execl(daemon_path, daemon_path, "-c", n->settings, NULL);
		_exit(127);
	}
	close(out[1]);
	n->out = fdopen(out[0], "r");
	n->err_read_fd = err[0];
	n->err_write_fd = err[1];
	wait_for_event(n, "\"started\"");
	return n;
}

/* The process's next write to its standard error finds no room. */
static void
fill_standard_error(const struct node *n)
{
	int flags = fcntl(n->err_write_fd, F_GETFL);

	fcntl(n->err_write_fd, F_SETFL, flags | O_NONBLOCK);
	while (write(n->err_write_fd, "x", 1) == 1)
		continue;
	fcntl(n->err_write_fd, F_SETFL, flags);
}

static void
expect_end(struct node *n)
{
	int status;

	assert_int_equal(waitpid(n->pid, &status, 0), n->pid);
	if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
		fail_msg("status %x", status);
	fclose(n->out);
	close(n->err_read_fd);
	close(n->err_write_fd);
	unlink(n->settings);
	talloc_free(n);
}

static void
test_stop_ends_with_a_thread_that_hangs(void **state)
{
	struct node *n = start_node();

	fill_standard_error(n);
	kill(n->pid, SIGTERM);
	wait_for_event(n, "\"stopping\"");
	/* Writes a state dump, which nobody reads. */
	kill(n->pid, SIGUSR1);
	expect_end(n);
}

static void
test_unread_dump_does_not_delay_signals(void **state)
{
	struct node *n = start_node();

	fill_standard_error(n);
	kill(n->pid, SIGUSR1);
	for (int i = 0; i < RELOADS; i++) {
		kill(n->pid, SIGHUP);
		wait_for_event(n, "\"settings-read\"");
	}
	kill(n->pid, SIGTERM);
	wait_for_event(n, "\"stopped\"");
	expect_end(n);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_stop_ends_with_a_thread_that_hangs),
	    cmocka_unit_test(test_unread_dump_does_not_delay_signals),
	};

	char *name = talloc_strdup(NULL, argv[0]);
	int failed;

	daemon_path = talloc_asprintf(name, "%s/../ibisraild", dirname(name));
	failed = cmocka_run_group_tests(tests, NULL, NULL);
	talloc_free(name);
	return failed;
}
