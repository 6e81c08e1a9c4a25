# Build configuration, read by the Makefile. Override on the command line.
CC = gcc
OPT = -O2 -g
WARN = -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wwrite-strings -Wno-unused-parameter
PKGS = talloc tevent libmicrohttpd libcurl argtable2 libtirpc json-c ck \
	libxxhash libsodium
SAN =
BUILD = build
