/* Loop macros of uthash and utlist, simplified for cppcheck. */
#define HASH_ITER(hh, head, el, tmp)                                           \
	for ((el) = (head), (tmp) = 0; (el); (el) = (tmp))
#define LL_FOREACH(head, el) for ((el) = (head); (el); (el) = (el)->next)
#define LL_FOREACH_SAFE(head, el, tmp)                                         \
	for ((el) = (head), (tmp) = 0; (el); (el) = (tmp))
#define DL_FOREACH(head, el) for ((el) = (head); (el); (el) = (el)->next)
#define DL_FOREACH_SAFE(head, el, tmp)                                         \
	for ((el) = (head), (tmp) = 0; (el); (el) = (tmp))
#define DL_FOREACH_SAFE2(head, el, tmp, next)                                  \
	for ((el) = (head), (tmp) = 0; (el); (el) = (tmp))
