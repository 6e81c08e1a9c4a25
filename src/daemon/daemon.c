/* The daemon: command line and set-up. */
#include <sys/signalfd.h>

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "daemon/daemon.h"
#include "daemon/process.h"
#include "ibisrail/version.h"

#define PROGRAM "ibisraild"
#define EXIT_SETTINGS 2

/* Blocks the signals before any thread exists, so that all inherit the mask. */
static int
open_signal_fd(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGUSR1);
	sigaddset(&set, SIGHUP);
	if (sigprocmask(SIG_BLOCK, &set, NULL) != 0)
		return -1;
	return signalfd(-1, &set, SFD_CLOEXEC);
}

static int
serve(const struct ir_settings *settings, const char *file, double grace_s,
    const struct ir_dialect *dialect)
{
	int signal_fd = open_signal_fd();
	struct ir_process *p;

	if (signal_fd < 0 || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		fprintf(stderr, PROGRAM ": cannot initialize libraries\n");
		return EXIT_FAILURE;
	}
	p = ir_process_start(NULL, settings, file, grace_s, dialect);
	if (p == NULL)
		return EXIT_FAILURE;
	ir_process_run(p, signal_fd);
	ir_process_stop(p);
	curl_global_cleanup();
	close(signal_fd);
	return EXIT_SUCCESS;
}

static int
read_settings_and_serve(const char *file, double grace_s, bool check_only,
    const struct ir_dialect *dialect)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char *error = NULL;
	struct ir_settings *settings = ir_settings_read(mem, file, &error);
	int status = EXIT_SUCCESS;

	if (settings == NULL) {
		fprintf(stderr, PROGRAM ": %s\n", error);
		status = EXIT_SETTINGS;
	} else if (!check_only) {
		ir_settings_set_grace(settings, grace_s);
		status = serve(settings, file, grace_s, dialect);
	}
	talloc_free(mem);
	return status;
}

static void
print_help(void **table)
{
	printf("Usage: " PROGRAM);
	arg_print_syntax(stdout, table, "\n");
	printf("Runs one ibisrail node next to one upstream host.\n\n");
	arg_print_glossary(stdout, table, "  %-22s %s\n");
}

/* The argument or, if absent, the value of the dialect's environment variable.
 */
static const char *
select_settings_file(
    const struct arg_file *config, const struct ir_dialect *dialect)
{
	if (config->count > 0)
		return config->filename[0];
	if (dialect->settings_variable == NULL)
		return NULL;
	return getenv(dialect->settings_variable);
}

int
ir_daemon_main(int argc, char **argv, const struct ir_dialect *dialect)
{
	struct arg_file *config = arg_file0("c", "config", "FILE", "settings");
	struct arg_str *grace = arg_str0(NULL, "grace-s", "SECONDS",
	    "from SIGTERM to SIGKILL, unless the settings say; may be empty");
	struct arg_lit *check =
	    arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *version =
	    arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *help =
	    arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = {config, grace, check, version, help, end};
	int status = EXIT_SUCCESS;
	double grace_s = 0;
	const char *file;
	int errors;

	if (arg_nullcheck(table) != 0)
		return EXIT_FAILURE;
	errors = arg_parse(argc, argv, table);
	file = select_settings_file(config, dialect);
	if (help->count > 0) {
		print_help(table);
	} else if (version->count > 0) {
		printf(PROGRAM " " IR_VERSION "\n");
	} else if (errors > 0) {
		arg_print_errors(stderr, end, PROGRAM);
		status = EXIT_SETTINGS;
	} else if (grace->count > 0 &&
		   !ir_settings_parse_grace(grace->sval[0], &grace_s)) {
		fprintf(stderr,
		    PROGRAM ": --grace-s must be a number from 0.5 to 120\n");
		status = EXIT_SETTINGS;
	} else if (file == NULL) {
		fprintf(stderr, PROGRAM ": -c FILE is missing\n");
		status = EXIT_SETTINGS;
	} else {
		status = read_settings_and_serve(
		    file, grace_s, check->count > 0, dialect);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
