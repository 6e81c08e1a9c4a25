/* Transfers of libcurl that have ended. */
#ifndef IR_IO_CURL_FINISHED_H
#define IR_IO_CURL_FINISHED_H

#include <curl/curl.h>

/* The private pointer of the next one, with its result; NULL for none. */
void *ir_curl_finished(CURLM *multi, CURLcode *code);

#endif
