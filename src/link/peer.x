/*
 * Messages between nodes, as ONC RPC calls and replies. Odd kinds are calls,
 * the following even kind is the reply. Times travel as durations in
 * microseconds, never as clock readings.
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
const IR_MAX_RELEASES = 64;

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
	IR_MSG_GRANT_ASK = 11,
	IR_MSG_GRANT = 12,
	IR_MSG_VIEW_ASK = 13,
	IR_MSG_VIEW = 14,
	IR_MSG_HANDOVER = 15,
	IR_MSG_HANDOVER_REPLY = 16
};

struct ir_attempt_id {
	unsigned hyper incarnation;	/* of the origin's process */
	unsigned hyper sequence;	/* counted by that process, from 1 */
};

struct ir_request_id {
	unsigned hyper high;
	unsigned hyper low;
};

struct ir_header {
	string name<IR_MAX_NAME>;
	string value<IR_MAX_HEADER_VALUE>;
};

/* What a gate tells of itself on each reply. */
struct ir_load {
	unsigned int limit;		/* concurrent requests allowed now */
	unsigned int running;
	unsigned int queued;
	unsigned int shed_level;	/* priorities below it are refused */
	unsigned int account_shed_level; /* the same, for this account only */
	unsigned int service_time_us;
	bool leaving;
};

/* Who speaks, and whom it takes the other end for. */
struct ir_hello {
	string host<IR_MAX_NAME>;
	unsigned hyper incarnation;
	string expected_host<IR_MAX_NAME>;
	unsigned hyper config_revision;
	unsigned hyper list_revision;
};

struct ir_hello_reply {
	bool accepted;
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
	string account<IR_MAX_NAME>;	/* empty on routes open to all */
	string key_digest<IR_MAX_NAME>;	/* hexadecimal; empty on open routes */
	unsigned int importance;
	unsigned int rank;		/* shed rank of the whole request */
	unsigned int depth;		/* nodes passed before this one */
	unsigned int retry_tokens;	/* tokens that this subtree may spend */
	bool idempotent;
	bool open;
	bool first_attempt;		/* the caller's word, for its key */
	unsigned hyper config_revision;	/* by which the origin admitted it */
	unsigned int remaining_us;
	string idempotency_key<IR_MAX_NAME>;
	string authority<IR_MAX_AUTHORITY>;	/* host name asked for, or empty */
	string caller_attempt<IR_MAX_CALLER_ATTEMPT>;	/* the caller's own id, or empty */
	string origin<IR_MAX_NAME>;	/* service beside which the call began */
	string method<16>;
	string path<IR_MAX_PATH>;
	ir_header headers<IR_MAX_HEADERS>;
	opaque body<IR_MAX_BODY>;
};

struct ir_reply {
	ir_attempt_id attempt;
	unsigned hyper incarnation;	/* of the gate that answers */
	unsigned int error;		/* enum ir_error */
	unsigned int status;		/* HTTP status of the upstream, or 0 */
	unsigned int retry_after_ms;
	unsigned int tokens_left;
	bool in_vain;	/* it failed because a call below was refused */
	ir_load load;
	ir_header headers<IR_MAX_HEADERS>;
	opaque body<IR_MAX_BODY>;
};

struct ir_attempt_ref {
	ir_attempt_id attempt;
	unsigned hyper gate_incarnation; /* 0 when not known */
};

/* Tokens are counted in thousandths. */
struct ir_grant_ask {
	unsigned hyper sequence;	/* of the asking process, for each ask */
	unsigned hyper incarnation;
	string account<IR_MAX_NAME>;
	unsigned int bucket;
	unsigned int bucket_count;
	unsigned int want;
	unsigned hyper released<IR_MAX_RELEASES>; /* asks spent in full */
};

struct ir_grant {
	unsigned hyper sequence;
	string account<IR_MAX_NAME>;
	unsigned int bucket;
	unsigned int count;		/* whole tokens, 0 when refused */
	unsigned int valid_us;		/* from when the asker asked */
	unsigned int retry_after_ms;
	bool minting;			/* false: not the minter, or waiting */
};

struct ir_section {
	string name<IR_MAX_SECTION_NAME>;	/* "fleet", "accounts", "service/N", "host/N" */
	unsigned hyper revision;
	unsigned hyper generation;
	string text<IR_MAX_SECTION_TEXT>; /* empty: removed */
};

struct ir_view_ask {
	unsigned hyper config_revision;
	unsigned hyper list_revision;
};

struct ir_view_msg {
	unsigned hyper config_revision;
	unsigned hyper list_revision;
	unsigned hyper confirm_age_us;	/* of the last store confirmation */
	unsigned hyper outage_age_us;	/* of the last evidence of an outage */
	unsigned hyper outage_config_revision;
	unsigned hyper outage_list_revision;
	bool store_reachable;
	bool store_tried;
	unsigned hyper store_age_us;
	bool full;			/* sections not named are removed */
	ir_section sections<IR_MAX_SECTIONS>;
};

struct ir_handover {
	string account<IR_MAX_NAME>;
	unsigned int bucket;
	unsigned int bucket_count;
	unsigned hyper balance;		/* thousandths of a token */
	unsigned hyper outstanding;	/* granted and perhaps not yet spent */
	unsigned hyper config_revision;	/* of the view that moved the bucket */
	unsigned hyper list_revision;
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
case IR_MSG_GRANT_ASK:
	ir_grant_ask grant_ask;
case IR_MSG_GRANT:
	ir_grant grant;
case IR_MSG_VIEW_ASK:
	ir_view_ask view_ask;
case IR_MSG_VIEW:
	ir_view_msg view;
case IR_MSG_HANDOVER:
	ir_handover handover;
case IR_MSG_HANDOVER_REPLY:
	void;
};
