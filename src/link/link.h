/*
 * A link to one peer: identity on connect, heartbeat and silence.
 *
 * A link in use sends a heartbeat when nothing was heard, asked or sent as a
 * heartbeat for IR_HEARTBEAT_PERIOD_US: what is heard tells that the peer is
 * there, and what was asked for will be missed if it is not.
 *
 * The core owns it and the I/O side owns the connection; a connection is a
 * number that the core allots (even) or the I/O side (odd, accepted ones).
 * A link whose peer is silent for IR_LINK_TIMEOUT_US while something is
 * outstanding is given up, and a new connection is made at once. A peer that
 * names another host or expects another is refused.
 */
#ifndef IR_LINK_LINK_H
#define IR_LINK_LINK_H

#include <stdbool.h>
#include <stdint.h>

enum ir_link_state {
	IR_LINK_DOWN,
	IR_LINK_CONNECTING,
	IR_LINK_GREETING,
	IR_LINK_UP
};

/* What the owner has to do after a step. */
enum ir_link_action {
	IR_LINK_NOTHING,
	IR_LINK_CONNECT,   /* open a connection with a new number */
	IR_LINK_GREET,	   /* send HELLO */
	IR_LINK_HEARTBEAT, /* send HEARTBEAT */
	IR_LINK_IDLE,	   /* close the connection; nothing is outstanding */
	IR_LINK_LOST	   /* close the connection; attempts out are in doubt */
};

struct ir_link {
	enum ir_link_state state;
	uint32_t conn;
	uint64_t incarnation; /* of the peer, once greeted; kept when down */
	int64_t heard_us;
	int64_t asked_us; /* oldest message not followed by any heard; 0 none */
	int64_t heartbeat_us; /* last sent */
	int64_t retry_us;     /* not before: next connect */
	int64_t used_us;      /* last time that anyone wanted it for work */
	int64_t kept_us;      /* last time that it was to stay up */
	int64_t tick_us;      /* last tick, to notice a pause of this process */
	int64_t grace_us;     /* not before: given up for silence */
	uint32_t failures;    /* connects in a row that failed */
};

void ir_link_init(struct ir_link *l);
/*
 * Someone wants to send, or waits for an answer (say so on each tick):
 * IR_LINK_CONNECT when down and allowed.
 */
enum ir_link_action ir_link_want(struct ir_link *l, int64_t now);
/* The same for a user whose own messages are as good as heartbeats. */
enum ir_link_action ir_link_keep(struct ir_link *l, int64_t now);
void ir_link_connecting(struct ir_link *l, int64_t now, uint32_t conn);
enum ir_link_action ir_link_connected(struct ir_link *l, int64_t now);
/* HELLO_REPLY: false when refused or another host; the link is then lost. */
bool ir_link_greeted(struct ir_link *l, int64_t now, const char *expected,
    const char *host, bool accepted, uint64_t incarnation);
void ir_link_sent(struct ir_link *l, int64_t now);
void ir_link_heard(struct ir_link *l, int64_t now);
void ir_link_closed(struct ir_link *l, int64_t now);
enum ir_link_action ir_link_tick(struct ir_link *l, int64_t now);

#endif
