/*
 * Digests of API keys. The published configuration and the messages between
 * hosts carry digests only, never the keys.
 */
#ifndef IR_CONTRACT_KEY_H
#define IR_CONTRACT_KEY_H

#include "host/view.h"

/* Writes the SHA-256 of key in lower-case hexadecimal, NUL-terminated. */
void ir_key_digest(const char *key, char digest[IR_KEY_DIGEST_HEX + 1]);

#endif
