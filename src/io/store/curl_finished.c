/* Iteration over the finished transfers of a libcurl multi handle. */
#include <stddef.h>

#include "io/store/curl_finished.h"

void *
ir_curl_next_finished(CURLM *multi, CURLcode *code)
{
	CURLMsg *m;
	void *owner;
	int left;

	while ((m = curl_multi_info_read(multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		owner = NULL;
		*code = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &owner);
		if (owner != NULL)
			return owner;
	}
	return NULL;
}
