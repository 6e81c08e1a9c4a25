/* Digests of API keys. */
#include <sodium.h>
#include <string.h>

#include "contract/key.h"

void
ir_key_digest(const char *key, char digest[IR_KEY_DIGEST_HEX + 1])
{
	unsigned char hash[crypto_hash_sha256_BYTES];

	(void)crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
	(void)sodium_bin2hex(digest, IR_KEY_DIGEST_HEX + 1, hash, sizeof(hash));
}
