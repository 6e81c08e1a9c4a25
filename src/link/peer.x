/*
 * Messages between hosts, sent as ONC RPC calls and replies. A kind with an
 * odd number is a call, the next even number is its reply. Times are durations
 * in microseconds, never clock readings, as clocks of hosts may differ.
 */
const IR_MAX_NAME = 64;
const IR_MAX_SECTION_NAME = 80;
const IR_MAX_PATH = 4096;
const IR_MAX_AUTHORITY = 255;
const IR_MAX_CALLER_ATTEMPT = 512;
const IR_MAX_HEADERS = 64;
const IR_MAX_HEADER_VALUE = 8192;
const IR_MAX_BODY = 4194304;
const IR_MAX_SECTION_TEXT = 1048576;
const IR_MAX_SECTIONS = 4096;
const IR_MAX_SPENT_GRANTS = 64;
const IR_MAX_PART_BYTES = 16384;
/* In ir_hello_reply.accepted; any value but 0 means accepted. */
const IR_HELLO_ACCEPTED = 1;
const IR_HELLO_SENDS_PARTS = 2;
const IR_HELLO_TAKES_NOTICES = 4;
const IR_HELLO_TAKES_SUSPECTS = 8;
const IR_HELLO_TAKES_REGIONS = 16;
const IR_MAX_REGIONS = 64;
const IR_DIGEST_BYTES = 16;
const IR_MAX_CRASHES = 8;
const IR_MAX_SUSPECTS = 64;

enum ir_msg_kind {
	IR_MSG_HELLO = 1,
	IR_MSG_HELLO_REPLY = 2,
	IR_MSG_HEARTBEAT = 3,
	IR_MSG_HEARTBEAT_REPLY = 4,
	IR_MSG_FORWARD = 5,
	IR_MSG_ANSWER = 6,
	IR_MSG_CANCEL = 7,
	IR_MSG_CANCEL_REPLY = 8,
	IR_MSG_STATUS = 9,
	IR_MSG_STATUS_REPLY = 10,
	IR_MSG_GRANT_REQUEST = 11,
	IR_MSG_GRANT = 12,
	IR_MSG_VIEW_REQUEST = 13,
	IR_MSG_VIEW = 14,
	IR_MSG_HANDOVER = 15,
	IR_MSG_HANDOVER_REPLY = 16,
	/*
	 * Has no reply. The sender takes large VIEW messages in parts; only sent
	 * to a host whose HELLO_REPLY had IR_HELLO_SENDS_PARTS.
	 */
	IR_MSG_TAKE_PARTS = 17,
	IR_MSG_PART = 18,
	/*
	 * Has no reply. Only sent to a host whose HELLO_REPLY had
	 * IR_HELLO_TAKES_NOTICES, before any FORWARD on that connection.
	 */
		IR_MSG_UPSTREAM_NOTICE = 19,
	/* Has no reply. Only sent to a host with IR_HELLO_TAKES_SUSPECTS. */
	IR_MSG_SUSPECT_REPORT = 21,
	/*
	 * A FORWARD with allowed regions; its reply is ANSWER. Only sent to a
	 * host with IR_HELLO_TAKES_REGIONS.
	 */
	IR_MSG_REGION_FORWARD = 23
};

struct ir_attempt_id {
	/* Of the process that sent the attempt. */
	unsigned hyper incarnation;
	unsigned hyper sequence;	/* in that process, from 1 */
};

struct ir_request_id {
	unsigned hyper high;
	unsigned hyper low;
};

struct ir_header {
	string name<IR_MAX_NAME>;
	string value<IR_MAX_HEADER_VALUE>;
};

/* Load of a host's admission gate, sent with each reply. */
struct ir_load {
	unsigned int limit;		/* concurrency limit */
	unsigned int running;
	unsigned int queued;
	unsigned int shed_level;	/* lower priorities are refused */
	/* The shed level for the account of the request. */
	unsigned int account_shed_level;
	/* Expected time of a run; with IR_LOAD_SPEED_KNOWN, upstream/gate.h. */
	unsigned int service_time_us;
	bool leaving;
};

/* Identity of the sender, and the host it expects at the other end. */
struct ir_hello {
	string host<IR_MAX_NAME>;
	unsigned hyper incarnation;
	string expected_host<IR_MAX_NAME>;
	unsigned hyper config_revision;
	unsigned hyper list_revision;
};

struct ir_hello_reply {
	unsigned int accepted;		/* IR_HELLO_*; 0: refused */
	string host<IR_MAX_NAME>;
	unsigned hyper incarnation;
};

struct ir_heartbeat {
	unsigned hyper incarnation;
	unsigned hyper config_revision;
	unsigned hyper list_revision;
	ir_load load;
};

struct ir_forward {
	ir_attempt_id attempt;
	ir_request_id request;
	string service<IR_MAX_NAME>;
	string account<IR_MAX_NAME>;	/* empty on open routes */
	/* SHA-256 of the API key, hexadecimal; empty on open routes. */
	string key_digest<IR_MAX_NAME>;
	unsigned int importance;
	unsigned int rank;		/* shed rank, the same at each hop */
	unsigned int depth;		/* hosts passed before this one */
	/* Retries that this attempt and its calls may make. */
	unsigned int retry_tokens;
	bool idempotent;
	bool open;			/* the route needs no API key */
	/* The caller says that it has not used its idempotency key before. */
	bool first_attempt;
	unsigned hyper config_revision;	/* by which the call was admitted */
	unsigned int remaining_us;
	string idempotency_key<IR_MAX_NAME>;
	/* Host name of the request, or empty. */
	string authority<IR_MAX_AUTHORITY>;
	/* The caller's own attempt id, or empty. */
	string caller_attempt<IR_MAX_CALLER_ATTEMPT>;
	string origin<IR_MAX_NAME>;	/* service of the sender */
	string method<16>;
	string path<IR_MAX_PATH>;
	ir_header headers<IR_MAX_HEADERS>;
	opaque body<IR_MAX_BODY>;
};

typedef string ir_region_name<IR_MAX_NAME>;

/* A request that may be served in these regions only; empty: in none. */
struct ir_region_forward {
	ir_forward forward;
	ir_region_name regions<IR_MAX_REGIONS>;
};

struct ir_reply {
	ir_attempt_id attempt;
	unsigned hyper incarnation;	/* of the process that answers */
	unsigned int error;		/* enum ir_error */
	unsigned int status;		/* HTTP status of the upstream, or 0 */
	unsigned int retry_after_ms;
	unsigned int tokens_left;	/* retry tokens not spent */
	/* Failed as one of its calls was refused. */
	bool callee_refused;
	ir_load load;
	ir_header headers<IR_MAX_HEADERS>;
	opaque body<IR_MAX_BODY>;
};

struct ir_attempt_ref {
	ir_attempt_id attempt;
	unsigned hyper gate_incarnation; /* 0: unknown */
};

/* Requests tokens of an account from the issuer of a bucket. */
struct ir_grant_request {
	/* Number of the request, in the requesting process. */
	unsigned hyper sequence;
	unsigned hyper incarnation;
	string account<IR_MAX_NAME>;
	unsigned int bucket;
	unsigned int bucket_count;
	/* Whole tokens; 0: only reports spent_grants. */
	unsigned int requested_tokens;
	/* Sequence numbers of requests whose grants are spent in full. */
	unsigned hyper spent_grants<IR_MAX_SPENT_GRANTS>;
};

struct ir_grant {
	unsigned hyper sequence;
	string account<IR_MAX_NAME>;
	unsigned int bucket;
	unsigned int count;		/* whole tokens, 0 when refused */
	unsigned int valid_us;		/* from when the request was sent */
	unsigned int retry_after_ms;
	/* False: does not issue tokens of the bucket, or not yet. */
	bool issuing;
};

struct ir_section {
	/* "fleet", "accounts", "routes", "service/N", "host/N". */
	string name<IR_MAX_SECTION_NAME>;
	unsigned hyper revision;
	unsigned hyper generation;
	/* JSON; empty: the section is removed. */
	string text<IR_MAX_SECTION_TEXT>;
};

struct ir_view_request {
	unsigned hyper config_revision;
	unsigned hyper list_revision;
};

struct ir_view_msg {
	unsigned hyper config_revision;
	unsigned hyper list_revision;
	/* Time since the store last confirmed the view. */
	unsigned hyper confirm_age_us;
	/* Time since the last evidence of a store outage. */
	unsigned hyper outage_age_us;
	unsigned hyper outage_config_revision;
	unsigned hyper outage_list_revision;
	bool store_reachable;		/* result of the sender's last read */
	/* The sender has tried to read the store. */
	bool store_tried;
	unsigned hyper store_age_us;	/* time since that read */
	/* Sections that are not listed are removed. */
	bool full;
	ir_section sections<IR_MAX_SECTIONS>;
};

/* Tokens of a bucket, sent to the host that issues them from now on. */
struct ir_handover {
	string account<IR_MAX_NAME>;
	unsigned int bucket;
	unsigned int bucket_count;
	unsigned hyper available_mt;	/* thousandths of a token */
	unsigned hyper outstanding_mt;	/* granted, perhaps not yet spent */
	unsigned hyper config_revision;	/* of the view that moved the bucket */
	unsigned hyper list_revision;
};

/*
 * The next bytes of a record, with its mark. The parts of a record are sent in
 * order; other messages may come between them, parts of other records may not.
 */
struct ir_part {
	unsigned int record_bytes;	/* of the whole record */
	opaque data<IR_MAX_PART_BYTES>;
};

/*
 * What answers of the receiver's upstream said of it, for a process that has
 * started since.
 */
struct ir_upstream_notice {
	string upstream_id<IR_MAX_NAME>;
	bool limited;
	unsigned hyper rate_mt_per_s;
	bool leaving;
};

/* The end of an upstream. */
struct ir_crash {
	unsigned hyper id;
	bool cleared;			/* does not count any more */
};

/* A request, and the ends of upstreams during which it ran. */
struct ir_suspect {
	opaque digest[IR_DIGEST_BYTES];
	unsigned hyper age_us;		/* since the last of them */
	ir_crash crashes<IR_MAX_CRASHES>;
};

/* Of the service that sender and receiver have upstreams of. */
struct ir_suspect_report {
	string service<IR_MAX_NAME>;
	ir_suspect entries<IR_MAX_SUSPECTS>;
};

union ir_msg switch (ir_msg_kind kind) {
case IR_MSG_HELLO:
	ir_hello hello;
case IR_MSG_HELLO_REPLY:
	ir_hello_reply hello_reply;
case IR_MSG_HEARTBEAT:
	ir_heartbeat heartbeat;
case IR_MSG_HEARTBEAT_REPLY:
	ir_heartbeat heartbeat_reply;
case IR_MSG_FORWARD:
	ir_forward forward;
case IR_MSG_ANSWER:
	ir_reply answer;
case IR_MSG_CANCEL:
	ir_attempt_ref cancel;
case IR_MSG_CANCEL_REPLY:
	void;
case IR_MSG_STATUS:
	ir_attempt_ref status;
case IR_MSG_STATUS_REPLY:
	ir_reply status_reply;
case IR_MSG_GRANT_REQUEST:
	ir_grant_request grant_request;
case IR_MSG_GRANT:
	ir_grant grant;
case IR_MSG_VIEW_REQUEST:
	ir_view_request view_request;
case IR_MSG_VIEW:
	ir_view_msg view;
case IR_MSG_HANDOVER:
	ir_handover handover;
case IR_MSG_HANDOVER_REPLY:
	void;
case IR_MSG_TAKE_PARTS:
	void;
case IR_MSG_PART:
	ir_part part;
case IR_MSG_UPSTREAM_NOTICE:
		ir_upstream_notice upstream_notice;
case IR_MSG_SUSPECT_REPORT:
	ir_suspect_report suspect_report;
case IR_MSG_REGION_FORWARD:
	ir_region_forward region_forward;
};
