/*
 * Encoding of peer messages as ONC RPC records: record mark (RFC 5531), RPC
 * call or reply header (libtirpc) and XDR body (peer.x).
 */
#ifndef IR_LINK_CODEC_H
#define IR_LINK_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <talloc.h>

#include "link/peer.h"

#define IR_RPC_PROGRAM 0x20491b15
#define IR_RPC_VERSION 1
/* Bound on an RPC record in bytes, without its record mark. */
#define IR_MAX_RPC_RECORD_BYTES (8 * 1024 * 1024)

/* Whether the message is sent as an RPC call; otherwise it is a reply. */
bool ir_msg_is_call(const struct ir_msg *m);

/*
 * Encodes a message as one RPC record with its mark, allocated under mem. No
 * string of the message may be NULL. Returns the size in bytes, or 0 when the
 * message exceeds a bound of peer.x or IR_MAX_RPC_RECORD_BYTES, or memory runs
 * out.
 */
size_t ir_codec_encode(
    TALLOC_CTX *mem, uint32_t xid, const struct ir_msg *m, uint8_t **out);

/*
 * Size in bytes of the RPC record that starts at data, with its mark; 0 if more
 * bytes are needed to know the size; SIZE_MAX if the record is larger than
 * IR_MAX_RPC_RECORD_BYTES or has more than one fragment.
 */
size_t ir_codec_record_size(const uint8_t *data, size_t size_bytes);

/*
 * Whether the record is a VIEW of more than IR_MAX_SMALL_VIEW_BYTES: one that
 * carries a configuration or a host list, not only a confirmation.
 */
#define IR_MAX_SMALL_VIEW_BYTES (16 * 1024)
bool ir_codec_is_large_view(const uint8_t *data, size_t size_bytes);

/*
 * Decodes one complete RPC record with its mark. Returns 0, or -1 with *error
 * set to a constant string. The caller must call ir_codec_free(), also after an
 * error.
 */
int ir_codec_decode(const uint8_t *data, size_t size_bytes, uint32_t *xid,
    struct ir_msg *m, const char **error);
void ir_codec_free(struct ir_msg *m);

#endif
