/* HTTP over plain loopback sockets. */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "support/raw_http.h"

int
raw_connect(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

void
raw_send(int fd, const char *text, size_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, text, size, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		text += n;
		size -= (size_t)n;
	}
}

int
raw_send_request(uint16_t port, const char *request)
{
	int fd = raw_connect(port);

	raw_send(fd, request, strlen(request));
	return fd;
}

/* Reads single bytes, so as not to take any of the next answer. */
void
raw_read_answer(int fd, char *text)
{
	size_t size = 0, length = 0, head = 0;

	memset(text, 0, RAW_ANSWER_BYTES);
	while (size < RAW_ANSWER_BYTES - 1) {
		const char *field;

		if (head != 0 && size == head + length)
			return;
		if (read(fd, text + size, 1) <= 0)
			return;
		size++;
		if (head != 0 || strstr(text, "\r\n\r\n") == NULL)
			continue;
		head = size;
		field = strstr(text, "Content-Length: ");
		length = field != NULL ? strtoul(field + 16, NULL, 10) : 0;
	}
}

size_t
raw_read_all(int fd, char *text, size_t size)
{
	size_t got = 0;

	memset(text, 0, size);
	while (got < size - 1) {
		ssize_t n = read(fd, text + got, size - 1 - got);

		if (n <= 0)
			break;
		got += (size_t)n;
	}
	return got;
}
