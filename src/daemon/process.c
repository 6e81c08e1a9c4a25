/* Start, signals and end of the daemon's threads. */
#include <sys/signalfd.h>
#include <sys/stat.h>

#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <json.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "daemon/process.h"
#include "daemon/stop_limit.h"
#include "ibisrail/version.h"
#include "io/admin/admin.h"
#include "io/admin/io_log.h"
#include "io/callers/callers.h"
#include "io/clock.h"
#include "io/core/core_loop.h"
#include "io/descriptors.h"
#include "io/listen.h"
#include "io/peers/peers.h"
#include "io/store/store_client.h"
#include "io/upstream/upstream.h"

#define RING_SLOTS 4096
#define BYTES_PER_MB (UINT64_C(1024) * 1024)
#define DRAIN_POLL_MS 100
/* For writing a state dump to standard error. */
#define DUMP_TIMEOUT_MS 100
/* How often the settings file is checked for a change. */
#define SETTINGS_CHECK_MS 1000
/* The main thread is awake at least once in this time, unless it is held up. */
#define AWAKE_PERIOD_US ((SETTINGS_CHECK_MS + 500) * IR_US_PER_MS)

/* Threads started here. The admin server starts its own. */
enum thread {
	THREAD_CORE,
	THREAD_CALLERS,
	THREAD_UPSTREAM,
	THREAD_PEERS,
	THREAD_PLATFORM,
	THREAD_COUNT
};

enum listener {
	LISTENER_CALLERS,
	LISTENER_EGRESS,
	LISTENER_PEERS,
	LISTENER_ADMIN,
	LISTENER_METRICS,
	LISTENER_COUNT
};

struct ir_process {
	const struct ir_settings *settings;
	const char *settings_file;
	double grace_s;			/* of the command line; 0: not given */
	struct timespec settings_mtime; /* as last seen */
	const struct ir_dialect *dialect;
	struct ir_descriptor_limits descriptors;
	struct ir_memory memory;
	struct ir_log *log;
	struct ir_core_loop loop;
	int listen_fds[LISTENER_COUNT];
	uint16_t ports[LISTENER_COUNT];
	struct ir_callers *callers;
	struct ir_upstream *upstream;
	struct ir_peers *peers;
	struct ir_store_client *store_client;
	struct ir_admin *admin;
	pthread_t threads[THREAD_COUNT];
	size_t thread_count;
	bool stopping;
	int64_t awake_us; /* when signals were last looked for */
	int64_t stop_us;  /* when the signal may have come */
	bool drained;
};

/* Names in the log, by enum thread. */
static const char *const thread_names[THREAD_COUNT] = {
    "core", "callers", "upstream", "peers", "platform"};

static int
open_listener(struct ir_process *p, enum listener which, const char *name,
    const struct ir_endpoint *e)
{
	int fd = ir_listen(e, which == LISTENER_EGRESS, &p->ports[which]);

	p->listen_fds[which] = fd;
	if (fd >= 0)
		return 0;
	ir_io_log_event(p->log, IR_EVENT_LISTEN_FAILED, strerror(errno),
	    "listener=%s address=%s port=%u", name, e->address, e->port);
	return -1;
}

static int
open_listeners(struct ir_process *p)
{
	const struct ir_settings *s = p->settings;

	if (open_listener(p, LISTENER_CALLERS, "callers", &s->callers) != 0)
		return -1;
	if (s->has_egress &&
	    open_listener(p, LISTENER_EGRESS, "egress", &s->egress) != 0)
		return -1;
	if (open_listener(p, LISTENER_PEERS, "peers", &s->peers) != 0)
		return -1;
	if (s->has_metrics &&
	    open_listener(p, LISTENER_METRICS, "metrics", &s->metrics) != 0)
		return -1;
	return open_listener(p, LISTENER_ADMIN, "admin", &s->admin);
}

/* Random, above 0, and of 63 bits so that JSON readers can represent it. */
static uint64_t
new_incarnation(void)
{
	uint64_t n;

	do {
		randombytes_buf(&n, sizeof(n));
		n >>= 1;
	} while (n == 0);
	return n;
}

static int
init_core_loop(struct ir_process *p)
{
	struct ir_core_loop *l = &p->loop;

	l->log = p->log;
	l->settings = p->settings;
	l->dialect = p->dialect;
	l->memory = &p->memory;
	l->incarnation = new_incarnation();
	randombytes_buf(&l->seed, sizeof(l->seed));
	l->wakeup = ir_wakeup_new(p);
	if (l->wakeup == NULL)
		return -1;
	for (int d = 0; d < IR_THREAD_COUNT; d++) {
		l->channels[d] =
		    ir_channel_new(p, l->wakeup, p->log, RING_SLOTS);
		if (l->channels[d] == NULL)
			return -1;
	}
	return 0;
}

/* Passes the ownership of a listening socket to the caller. */
static int
release_fd(struct ir_process *p, enum listener which)
{
	int fd = p->listen_fds[which];

	p->listen_fds[which] = -1;
	return fd;
}

static int
create_components(struct ir_process *p)
{
	struct ir_channel **ch = p->loop.channels;
	int callers_fd = release_fd(p, LISTENER_CALLERS);
	int egress_fd = release_fd(p, LISTENER_EGRESS);

	p->callers = ir_callers_new(p, ch[IR_THREAD_CALLERS], p->dialect,
	    &p->memory, p->descriptors.callers, callers_fd, egress_fd);
	p->upstream = ir_upstream_new(p, ch[IR_THREAD_UPSTREAM], &p->memory,
	    p->dialect, &p->settings->upstream, p->descriptors.upstream);
	p->peers = ir_peers_new(p, ch[IR_THREAD_PEERS], &p->memory,
	    p->descriptors.peers, release_fd(p, LISTENER_PEERS));
	p->store_client = ir_store_client_new(
	    p, ch[IR_THREAD_PLATFORM], p->settings, &p->dialect->store);
	if (p->callers == NULL || p->upstream == NULL || p->peers == NULL ||
	    p->store_client == NULL)
		return -1;
	return 0;
}

static int
start_thread(struct ir_process *p, void *(*run)(void *), void *arg)
{
	if (pthread_create(&p->threads[p->thread_count], NULL, run, arg) != 0)
		return -1;
	p->thread_count++;
	return 0;
}

static int
start_threads(struct ir_process *p)
{
	struct ir_channel **ch = p->loop.channels;

	if (start_thread(p, ir_core_loop_run, &p->loop) != 0 ||
	    start_thread(p, ir_callers_run, p->callers) != 0 ||
	    start_thread(p, ir_upstream_run, p->upstream) != 0 ||
	    start_thread(p, ir_peers_run, p->peers) != 0 ||
	    start_thread(p, ir_store_client_run, p->store_client) != 0)
		return -1;
	p->admin = ir_admin_start(p, ch[IR_THREAD_ADMIN], p->settings->host,
	    p->dialect->ready_path, release_fd(p, LISTENER_ADMIN),
	    release_fd(p, LISTENER_METRICS));
	return p->admin != NULL ? 0 : -1;
}

static int
free_process(struct ir_process *p)
{
	for (int i = 0; i < LISTENER_COUNT; i++) {
		if (p->listen_fds[i] >= 0)
			close(p->listen_fds[i]);
	}
	/* Components use their channels while they are freed. */
	TALLOC_FREE(p->callers);
	TALLOC_FREE(p->upstream);
	TALLOC_FREE(p->peers);
	TALLOC_FREE(p->store_client);
	return 0;
}

static void
set_descriptor_limits(struct ir_process *p)
{
	uint64_t limit = ir_descriptor_limit_raise();
	uint32_t wanted = p->settings->upstream_connections;

	p->descriptors = ir_descriptor_limits_divide(limit, wanted);
	if (p->descriptors.upstream < wanted)
		ir_io_log_event(p->log, IR_EVENT_DESCRIPTORS_FEW, NULL,
		    "limit=%" PRIu64 " wanted=%" PRIu32 " upstream=%" PRIu32,
		    limit, wanted, p->descriptors.upstream);
}

static void
log_started(struct ir_process *p)
{
	ir_io_log_event(p->log, IR_EVENT_STARTED, NULL,
	    "callers_port=%u egress_port=%u peers_port=%u admin_port=%u "
	    "incarnation=%" PRIu64 " version=%s",
	    p->ports[LISTENER_CALLERS], p->ports[LISTENER_EGRESS],
	    p->ports[LISTENER_PEERS], p->ports[LISTENER_ADMIN],
	    p->loop.incarnation, IR_VERSION);
}

static struct timespec
modification_time(const char *file)
{
	struct stat s = {0};

	if (file != NULL)
		(void)stat(file, &s);
	return s.st_mtim;
}

struct ir_process *
ir_process_start(TALLOC_CTX *mem, const struct ir_settings *settings,
    const char *settings_file, double grace_s, const struct ir_dialect *dialect)
{
	struct ir_process *p = talloc_zero(mem, struct ir_process);

	if (p == NULL)
		return NULL;
	for (int i = 0; i < LISTENER_COUNT; i++)
		p->listen_fds[i] = -1;
	talloc_set_destructor(p, free_process);
	p->settings = settings;
	p->settings_file = settings_file;
	p->grace_s = grace_s;
	p->settings_mtime = modification_time(settings_file);
	p->dialect = dialect;
	p->log =
	    ir_log_new(p, STDOUT_FILENO, settings->host, settings->log_level);
	if (p->log == NULL || ir_log_start(p->log) != 0)
		goto fail;
	set_descriptor_limits(p);
	ir_memory_init(&p->memory, settings->memory_mb * BYTES_PER_MB);
	if (open_listeners(p) != 0 || init_core_loop(p) != 0 ||
	    create_components(p) != 0)
		goto fail;
	/* Running threads cannot be stopped here, so exit without clean-up. */
	if (start_threads(p) != 0) {
		ir_io_log_event(
		    p->log, IR_EVENT_LISTEN_FAILED, "threads", "%s", "");
		_exit(1);
	}
	log_started(p);
	return p;

fail:
	talloc_free(p);
	return NULL;
}

static void
push_to_core(struct ir_process *p, struct ir_to_core *m)
{
	if (!ir_ring_push(p->loop.channels[IR_THREAD_MAIN]->to_core, m))
		talloc_free(m);
}

static void
send_to_core(struct ir_process *p, enum ir_to_core_kind kind)
{
	struct ir_to_core *m = ir_to_core_new(kind);

	m->report = IR_REPORT_STATE;
	push_to_core(p, m);
}

/* Applies the keys that can change at run time. Ignores invalid settings. */
static void
reload_settings(struct ir_process *p, const char *why)
{
	struct ir_to_core *m;
	struct ir_settings *s;
	char *error = NULL;

	p->settings_mtime = modification_time(p->settings_file);
	s = ir_settings_read(p, p->settings_file, &error);
	if (s == NULL) {
		ir_io_log_event(p->log, IR_EVENT_SETTINGS_BAD, NULL,
		    "kept=former error=%s", error);
		talloc_free(error);
		return;
	}
	ir_settings_set_grace(s, p->grace_s);
	ir_io_log_event(p->log, IR_EVENT_SETTINGS_READ, NULL,
	    "why=%s restart=%s", why, ir_settings_restart_key(p->settings, s));
	ir_log_set_level(p->log, s->log_level);
	p->settings = s;
	m = ir_to_core_new(IR_TO_CORE_SETTINGS);
	m->u.settings = s;
	push_to_core(p, m);
}

static void
check_settings_file(struct ir_process *p)
{
	struct timespec t = modification_time(p->settings_file);

	/* A file that is missing is probably being replaced. */
	if (t.tv_sec == 0 || (t.tv_sec == p->settings_mtime.tv_sec &&
				 t.tv_nsec == p->settings_mtime.tv_nsec))
		return;
	reload_settings(p, "change");
}

/*
 * A process that was suspended does not know when the signal came. Its
 * supervisor has waited since then.
 */
static int64_t
signal_time(const struct ir_process *p)
{
	int64_t now = ir_clock_now();

	return now - p->awake_us > AWAKE_PERIOD_US ? p->awake_us : now;
}

static void
begin_stop(struct ir_process *p)
{
	int64_t limit_us = p->settings->stop_ms * IR_US_PER_MS;
	struct ir_to_core *m = ir_to_core_new(IR_TO_CORE_DRAIN);

	p->stopping = true;
	p->stop_us = signal_time(p);
	m->since_us = p->stop_us;
	if (!ir_stop_limit_start(p->stop_us + limit_us))
		ir_io_log_event(p->log, IR_EVENT_STOP_STAGE, NULL, "%s",
		    "stage=no-limit ms=0");
	push_to_core(p, m);
}

static void
handle_signal(struct ir_process *p, int signal_fd)
{
	struct signalfd_siginfo info;

	if (read(signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo == SIGUSR1) {
		send_to_core(p, IR_TO_CORE_REPORT_REQUEST);
		return;
	}
	if (info.ssi_signo == SIGHUP) {
		reload_settings(p, "signal");
		return;
	}
	if (!p->stopping)
		begin_stop(p);
}

/* Gives up on a reader that is too slow: signals wait meanwhile. */
static void
write_stderr(const char *text, size_t size)
{
	int64_t end_us = ir_clock_now() + DUMP_TIMEOUT_MS * IR_US_PER_MS;
	struct pollfd p = {.fd = STDERR_FILENO, .events = POLLOUT};

	while (size > 0 && ir_clock_now() < end_us) {
		size_t chunk = size < PIPE_BUF ? size : PIPE_BUF;
		ssize_t n;

		/* A pipe that polls as writable takes PIPE_BUF bytes. */
		if (poll(&p, 1, DUMP_TIMEOUT_MS) <= 0)
			return;
		n = write(STDERR_FILENO, text, chunk);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		text += n;
		size -= (size_t)n;
	}
}

/* Writes one line, as the log does. */
static void
write_dump(struct json_object *json)
{
	const char *text =
	    json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
	char *line = talloc_asprintf(NULL, "{\"dump\":%s}\n", text);

	if (line == NULL)
		return;
	write_stderr(line, strlen(line));
	talloc_free(line);
}

static void
handle_core_messages(struct ir_process *p)
{
	struct ir_ring *ring = p->loop.channels[IR_THREAD_MAIN]->from_core;
	struct ir_from_core *m;

	while ((m = ir_ring_pop(ring)) != NULL) {
		if (m->kind == IR_FROM_CORE_STOP)
			p->drained = true;
		if (m->kind == IR_FROM_CORE_REPORT)
			write_dump(m->u.report.json);
		talloc_free(m);
	}
}

void
ir_process_run(struct ir_process *p, int signal_fd)
{
	struct ir_channel *ch = p->loop.channels[IR_THREAD_MAIN];
	struct pollfd fds[] = {
	    {.fd = signal_fd, .events = POLLIN},
	    {.fd = ir_wakeup_fd(ch->wakeup), .events = POLLIN},
	};

	p->awake_us = ir_clock_now();
	while (!p->drained) {
		ir_wakeup_arm(ch->wakeup);
		if (ir_ring_empty(ch->from_core))
			poll(fds, 2,
			    p->stopping ? DRAIN_POLL_MS : SETTINGS_CHECK_MS);
		ir_wakeup_disarm(ch->wakeup);
		if ((fds[0].revents & POLLIN) != 0)
			handle_signal(p, signal_fd);
		fds[0].revents = 0;
		p->awake_us = ir_clock_now();
		check_settings_file(p);
		handle_core_messages(p);
	}
}

static int64_t
stop_duration_ms(const struct ir_process *p)
{
	return (ir_clock_now() - p->stop_us) / IR_US_PER_MS;
}

static void
log_thread_end(struct ir_process *p, const char *thread)
{
	ir_io_log_event(p->log, IR_EVENT_STOP_STAGE, NULL,
	    "stage=thread-ended ms=%" PRId64 " thread=%s", stop_duration_ms(p),
	    thread);
}

static void
join_thread(struct ir_process *p, enum thread which)
{
	pthread_join(p->threads[which], NULL);
	log_thread_end(p, thread_names[which]);
}

/* Stops the core last, since the other threads still send to it. */
void
ir_process_stop(struct ir_process *p)
{
	for (size_t i = THREAD_CORE + 1; i < p->thread_count; i++)
		join_thread(p, i);
	ir_admin_stop(p->admin);
	log_thread_end(p, "admin");
	send_to_core(p, IR_TO_CORE_EXIT);
	join_thread(p, THREAD_CORE);
	ir_io_log_event(
	    p->log, IR_EVENT_STOPPED, NULL, "ms=%" PRId64, stop_duration_ms(p));
	talloc_free(p);
}
