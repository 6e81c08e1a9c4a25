/*
 * State of the link to one peer: connection, HELLO exchange, heartbeats and
 * failure detection. Makes no system calls: the core owns the link, the I/O
 * side owns the connection. Connections are numbered; those that the core opens
 * have even numbers, those that the I/O side accepts have odd ones.
 *
 * A link in use sends a heartbeat if, for IR_HEARTBEAT_PERIOD_US, no message
 * was received, no message was sent that is still unanswered, and no heartbeat
 * was sent. A received message shows that the peer is alive; an unanswered
 * message is itself subject to the timeout.
 *
 * A link is lost when no bytes move on it for IR_LINK_TIMEOUT_US while a
 * message is unanswered: the outcome of attempts in flight is then unknown. A
 * link that was up may be connected again at once. A peer whose HELLO_REPLY
 * names another host, or expects another host, is refused.
 */
#ifndef IR_LINK_LINK_H
#define IR_LINK_LINK_H

#include <stdbool.h>
#include <stdint.h>

enum ir_link_state {
	IR_LINK_DOWN,
	IR_LINK_CONNECTING,
	IR_LINK_GREETING, /* waits for HELLO_REPLY */
	IR_LINK_UP
};

/* What the owner must do next. */
enum ir_link_action {
	IR_LINK_NOTHING,
	IR_LINK_CONNECT,	/* open a connection, with a new number */
	IR_LINK_SEND_HELLO,	/* send HELLO */
	IR_LINK_SEND_HEARTBEAT, /* send HEARTBEAT */
	IR_LINK_CLOSE_IDLE,	/* close it: unused, no reply is due */
	IR_LINK_LOST		/* close the connection; the peer is silent */
};

struct ir_link {
	enum ir_link_state state;
	uint32_t conn;
	uint64_t incarnation; /* of the peer's process; kept when down */
	int64_t received_us;  /* last message, or start of the connection */
	/* First message sent after the last one received; 0: none. */
	int64_t unanswered_us;
	int64_t moved_us;	   /* last ir_link_bytes_moved() */
	int64_t heartbeat_sent_us; /* last heartbeat */
	int64_t reconnect_us;	   /* earliest time of the next connect */
	int64_t last_used_us;	   /* last ir_link_use() */
	int64_t last_needed_us; /* last ir_link_use() or ir_link_keep_open() */
	int64_t last_tick_us; /* last tick, to detect a pause of this process */
	int64_t grace_until_us;	   /* the link is not lost before */
	uint32_t connect_failures; /* since the last accepted HELLO_REPLY */
	int64_t hello_sent_us;	   /* on the current connection */
	int64_t round_trip_us;	   /* of the last HELLO; 0: none yet */
};

void ir_link_init(struct ir_link *l);
/*
 * Marks the link as in use: a message is to be sent, or an answer is awaited
 * (repeat it on each tick then). Gives IR_LINK_CONNECT when the link is down
 * and may be connected, otherwise IR_LINK_NOTHING.
 */
enum ir_link_action ir_link_use(struct ir_link *l, int64_t now);
/*
 * Like ir_link_use(), for messages sent at regular intervals: the link is not
 * closed as idle, and needs no heartbeats.
 */
enum ir_link_action ir_link_keep_open(struct ir_link *l, int64_t now);
/* The owner has begun to open connection conn. */
void ir_link_connect_started(struct ir_link *l, int64_t now, uint32_t conn);
/* The connection is established. Gives IR_LINK_SEND_HELLO, once. */
enum ir_link_action ir_link_connected(struct ir_link *l, int64_t now);
/*
 * HELLO_REPLY was received: the peer is host and expects this host (accepted)
 * or another. Returns whether the link is up; otherwise the owner must close
 * the connection.
 */
bool ir_link_hello_reply(struct ir_link *l, int64_t now, const char *expected,
    const char *host, bool accepted, uint64_t incarnation);
/*
 * The heartbeat asked for by the last ir_link_tick(), at the same time now, was
 * not sent. The link is then not lost before the peer had time to answer a
 * later one.
 */
void ir_link_heartbeat_unsent(struct ir_link *l, int64_t now);
void ir_link_message_sent(struct ir_link *l, int64_t now);
void ir_link_message_received(struct ir_link *l, int64_t now);
/*
 * Bytes of a message that is still incomplete were received, or queued bytes
 * were sent: the peer isn't silent. Unlike a whole message they answer nothing.
 */
void ir_link_bytes_moved(struct ir_link *l, int64_t now);
/* The connection was closed or could not be opened. */
void ir_link_connection_closed(struct ir_link *l, int64_t now);
/* To be called regularly; handles heartbeats, timeouts and idle links. */
enum ir_link_action ir_link_tick(struct ir_link *l, int64_t now);

#endif
