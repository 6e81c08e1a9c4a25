/*
 * ibisrailctl key: generates keys and digests. A key is never an argument,
 * since other processes can see arguments.
 */
#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define KEY_BYTES 32
#define KEY_TEXT_BYTES             \
	sodium_base64_ENCODED_LEN( \
	    KEY_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING)
#define DIGEST_TEXT_BYTES (2 * crypto_hash_sha256_BYTES + 1)
#define MAX_KEY_BYTES 256

static const struct ctl_usage usage = {"key",
    "new: prints a random key and its digest. Give the key to the caller and\n"
    "publish the digest in key_digests of the account; keep no copy.\n"
    "digest: reads a key from standard input and prints its digest.",
    "0 success, 1 no key could be read or generated, 2 wrong arguments."};

static void
print_digest(const char *key)
{
	unsigned char hash[crypto_hash_sha256_BYTES];
	char text[DIGEST_TEXT_BYTES];

	crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
	sodium_bin2hex(text, sizeof(text), hash, sizeof(hash));
	printf("digest %s\n", text);
}

static int
new_key(void)
{
	unsigned char raw[KEY_BYTES];
	char text[KEY_TEXT_BYTES];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2base64(text, sizeof(text), raw, sizeof(raw),
	    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	printf("key %s\n", text);
	print_digest(text);
	sodium_memzero(raw, sizeof(raw));
	sodium_memzero(text, sizeof(text));
	return CTL_OK;
}

static int
digest_key(void)
{
	char line[MAX_KEY_BYTES + 2];

	if (fgets(line, sizeof(line), stdin) == NULL)
		line[0] = '\0';
	if (strlen(line) > MAX_KEY_BYTES && strchr(line, '\n') == NULL) {
		fprintf(stderr,
		    "ibisrailctl: the key is longer than %d bytes\n",
		    MAX_KEY_BYTES);
		sodium_memzero(line, sizeof(line));
		return CTL_FAILED;
	}
	line[strcspn(line, "\r\n")] = '\0';
	if (line[0] == '\0') {
		fprintf(stderr, "ibisrailctl: no key on standard input. Write "
				"it there, on one line.\n");
		return CTL_FAILED;
	}
	print_digest(line);
	sodium_memzero(line, sizeof(line));
	return CTL_OK;
}

int
ctl_key(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *what = arg_str1(NULL, NULL, "new|digest", "which");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, what, end};
	int rc = CTL_USAGE;

	if (ctl_parse(&usage, argc, argv, table, 3, &rc) != CTL_OK)
		goto out;
	if (sodium_init() < 0) {
		fprintf(stderr, "ibisrailctl: libsodium setup failed\n");
		rc = CTL_FAILED;
	} else if (strcmp(what->sval[0], "new") == 0) {
		rc = new_key();
	} else if (strcmp(what->sval[0], "digest") == 0) {
		rc = digest_key();
	} else {
		fprintf(stderr, "ibisrailctl: use \"new\" or \"digest\"; keys "
				"are read from standard input only\n");
		rc = CTL_USAGE;
	}
out:
	arg_freetable(table, 3);
	return rc;
}
