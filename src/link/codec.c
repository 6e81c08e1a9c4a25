/* Encoding of peer messages as ONC RPC records. */
#include <stdint.h>
#include <string.h>

#include "link/codec.h"

#define MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000U
#define CALL_HEADER_BYTES 40
#define REPLY_HEADER_BYTES 24
#define DIRECTION_OFFSET 4

bool
ir_msg_is_call(const struct ir_msg *m)
{
	return m->kind % 2 == 1;
}

static bool
encode_call_header(XDR *x, uint32_t xid, uint32_t procedure)
{
	struct rpc_msg r;

	memset(&r, 0, sizeof(r));
	r.rm_xid = xid;
	r.rm_direction = CALL;
	r.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	r.rm_call.cb_prog = IR_RPC_PROGRAM;
	r.rm_call.cb_vers = IR_RPC_VERSION;
	r.rm_call.cb_proc = procedure;
	r.rm_call.cb_cred = _null_auth;
	r.rm_call.cb_verf = _null_auth;
	return xdr_callmsg(x, &r);
}

static bool_t
xdr_no_results(XDR *x, ...)
{
	return TRUE;
}

static bool
encode_reply_header(XDR *x, uint32_t xid)
{
	struct rpc_msg r;

	memset(&r, 0, sizeof(r));
	r.rm_xid = xid;
	r.rm_direction = REPLY;
	r.rm_reply.rp_stat = MSG_ACCEPTED;
	r.acpted_rply.ar_verf = _null_auth;
	r.acpted_rply.ar_stat = SUCCESS;
	r.acpted_rply.ar_results.proc = xdr_no_results;
	return xdr_replymsg(x, &r);
}

static void
write_mark(uint8_t *p, uint32_t size_bytes)
{
	uint32_t mark = htonl(LAST_FRAGMENT | size_bytes);

	memcpy(p, &mark, sizeof(mark));
}

size_t
ir_codec_encode(
    TALLOC_CTX *mem, uint32_t xid, const struct ir_msg *m, uint8_t **out)
{
	struct ir_msg copy = *m;
	bool call = ir_msg_is_call(m);
	size_t size;
	uint8_t *p;
	XDR x;
	bool ok;

	size = xdr_sizeof((xdrproc_t)xdr_ir_msg, &copy);
	if (size == 0 || size > IR_MAX_RPC_RECORD_BYTES)
		return 0;
	size += call ? CALL_HEADER_BYTES : REPLY_HEADER_BYTES;
	if (size > IR_MAX_RPC_RECORD_BYTES)
		return 0;
	p = talloc_size(mem, MARK_BYTES + size);
	if (p == NULL)
		return 0;
	write_mark(p, size);
	xdrmem_create(&x, (char *)p + MARK_BYTES, size, XDR_ENCODE);
	ok = call ? encode_call_header(&x, xid, m->kind)
		  : encode_reply_header(&x, xid);
	ok = ok && xdr_ir_msg(&x, &copy);
	ok = ok && xdr_getpos(&x) == size;
	xdr_destroy(&x);
	if (!ok) {
		talloc_free(p);
		return 0;
	}
	*out = p;
	return MARK_BYTES + size;
}

size_t
ir_codec_record_size(const uint8_t *data, size_t size_bytes)
{
	uint32_t mark;
	uint32_t size;

	if (size_bytes < MARK_BYTES)
		return 0;
	memcpy(&mark, data, sizeof(mark));
	mark = ntohl(mark);
	size = mark & ~LAST_FRAGMENT;
	if ((mark & LAST_FRAGMENT) == 0 || size > IR_MAX_RPC_RECORD_BYTES)
		return SIZE_MAX;
	return MARK_BYTES + size;
}

static uint32_t
word_at(const uint8_t *data, size_t offset)
{
	uint32_t word;

	memcpy(&word, data + offset, sizeof(word));
	return ntohl(word);
}

bool
ir_codec_is_large_view(const uint8_t *data, size_t size_bytes)
{
	if (size_bytes <= IR_MAX_SMALL_VIEW_BYTES)
		return false;
	return word_at(data, MARK_BYTES + DIRECTION_OFFSET) == REPLY &&
	       word_at(data, MARK_BYTES + REPLY_HEADER_BYTES) == IR_MSG_VIEW;
}

static bool
is_auth_none(const struct opaque_auth *a)
{
	return a->oa_flavor == AUTH_NONE && a->oa_length == 0;
}

/* Buffers for the authentication data keep libtirpc from allocating them. */
static const char *
decode_call(XDR *x, uint32_t *xid, uint32_t *procedure)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg r;

	memset(&r, 0, sizeof(r));
	r.rm_call.cb_cred.oa_base = cred;
	r.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(x, &r))
		return "malformed RPC call header";
	if (r.rm_call.cb_rpcvers != RPC_MSG_VERSION)
		return "wrong RPC version";
	if (r.rm_call.cb_prog != IR_RPC_PROGRAM ||
	    r.rm_call.cb_vers != IR_RPC_VERSION)
		return "wrong RPC program or program version";
	if (!is_auth_none(&r.rm_call.cb_cred) ||
	    !is_auth_none(&r.rm_call.cb_verf))
		return "unexpected authentication";
	*xid = r.rm_xid;
	*procedure = r.rm_call.cb_proc;
	return NULL;
}

static const char *
decode_reply(XDR *x, uint32_t *xid)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg r;

	memset(&r, 0, sizeof(r));
	r.acpted_rply.ar_verf.oa_base = verf;
	r.acpted_rply.ar_results.proc = xdr_no_results;
	if (!xdr_replymsg(x, &r))
		return "malformed RPC reply header";
	if (r.rm_reply.rp_stat != MSG_ACCEPTED)
		return "RPC call denied";
	if (r.acpted_rply.ar_stat != SUCCESS)
		return "RPC call failed";
	if (!is_auth_none(&r.acpted_rply.ar_verf))
		return "unexpected authentication";
	*xid = r.rm_xid;
	return NULL;
}

/* Decodes the call or reply header; the direction is its second word. */
static const char *
decode_header(const uint8_t *data, size_t size_bytes, XDR *x, uint32_t *xid,
    bool *call, uint32_t *procedure)
{
	uint32_t direction;

	if (size_bytes < DIRECTION_OFFSET + sizeof(direction))
		return "record too short";
	direction = word_at(data, DIRECTION_OFFSET);
	*call = direction == CALL;
	if (direction == CALL)
		return decode_call(x, xid, procedure);
	if (direction == REPLY)
		return decode_reply(x, xid);
	return "invalid RPC direction";
}

static const char *
decode_body(
    XDR *x, struct ir_msg *m, bool call, uint32_t procedure, size_t size_bytes)
{
	if (!xdr_ir_msg(x, m))
		return "malformed message";
	if (call != ir_msg_is_call(m))
		return "message kind does not match the RPC direction";
	if (call && procedure != (uint32_t)m->kind)
		return "message kind does not match the RPC procedure";
	if (xdr_getpos(x) != size_bytes)
		return "extra bytes after the message";
	return NULL;
}

int
ir_codec_decode(const uint8_t *data, size_t size_bytes, uint32_t *xid,
    struct ir_msg *m, const char **error)
{
	uint32_t procedure = 0;
	bool call = false;
	XDR x;

	memset(m, 0, sizeof(*m));
	*error = "record incomplete";
	if (size_bytes < MARK_BYTES ||
	    ir_codec_record_size(data, size_bytes) != size_bytes)
		return -1;
	data += MARK_BYTES;
	size_bytes -= MARK_BYTES;
	/* The cast is safe: a decoding stream only reads its buffer. */
	xdrmem_create(&x, (char *)data, size_bytes, XDR_DECODE);
	*error = decode_header(data, size_bytes, &x, xid, &call, &procedure);
	if (*error == NULL)
		*error = decode_body(&x, m, call, procedure, size_bytes);
	xdr_destroy(&x);
	return *error == NULL ? 0 : -1;
}

void
ir_codec_free(struct ir_msg *m)
{
	xdr_free((xdrproc_t)xdr_ir_msg, m);
	memset(m, 0, sizeof(*m));
}
