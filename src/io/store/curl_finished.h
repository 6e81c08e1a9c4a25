/* Iteration over the finished transfers of a libcurl multi handle. */
#ifndef IR_IO_CURL_FINISHED_H
#define IR_IO_CURL_FINISHED_H

#include <curl/curl.h>

/*
 * Takes the next finished transfer of multi. Returns its CURLOPT_PRIVATE
 * pointer and sets *code to its result; NULL if no transfer has finished.
 */
void *ir_curl_next_finished(CURLM *multi, CURLcode *code);

#endif
