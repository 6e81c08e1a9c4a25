/*
 * The measured points. A function NAME_UNIT_of_THINGS starts a node in a
 * simulated fleet with x of those things, measures once and returns the figure:
 * us is processor time of this thread in microseconds, bytes and messages are
 * counts. Whatever is not varied is as in the large fleet.
 */
#ifndef BENCH_POINTS_H
#define BENCH_POINTS_H

/* From now on, what is not varied is as in a fleet of 17 hosts. */
void points_use_small_fleet(void);
/* Memory of a node after a change, when it holds the old and the new view. */
double view_bytes_of_hosts(double x);
double view_bytes_of_services(double x);
double view_bytes_of_accounts(double x);
/* Reading all sections at the start; sending a full view to another node. */
double boot_us_of_hosts(double x);
double full_view_us_of_hosts(double x);
double full_view_bytes_of_hosts(double x);
double full_view_bytes_of_services(double x);
double full_view_bytes_of_accounts(double x);
/* Applying one changed section: rebuilding the view and adapting to it. */
double host_change_us_of_hosts(double x);
double host_change_us_of_services(double x);
double host_change_us_of_accounts(double x);
double service_change_us_of_hosts(double x);
double accounts_change_us_of_accounts(double x);
/* Answering a VIEW_REQUEST when nothing has changed. */
double empty_poll_us_of_hosts(double x);
/* Answering the polls of x child nodes, for one second. */
double relay_us_of_children(double x);
double relay_bytes_of_children(double x);
/* Reads of the configuration and of the host list, neither changed. */
double store_read_us_of_hosts(double x);
/* Polling the parent without calls: bytes and time per second; one tick. */
double poll_bytes_of_hosts(double x);
double idle_us_of_hosts(double x);
double tick_us_of_hosts(double x);
/*
 * Heartbeats per second on x links: quiet is 1 call per second and link, busy
 * is 12, spread is 120 calls per second over all of them.
 */
double quiet_bytes_of_links(double x);
double quiet_messages_of_links(double x);
double busy_bytes_of_links(double x);
double busy_messages_of_links(double x);
double spread_bytes_of_links(double x);
double tick_us_of_links(double x);
double heartbeat_us_of_links(double x);
double link_bytes_of_links(double x);
/*
 * Token grants. Consumer: per second, with 120 calls per second or 8 accounts;
 * keyed and open calls per second, with all other work. Issuer:
 * grant_request_us_of_accounts() and issuer_bytes_of_accounts().
 */
double grant_messages_of_accounts(double x);
double grant_bytes_of_accounts(double x);
double grant_messages_of_calls(double x);
double grant_bytes_of_calls(double x);
double keyed_us_of_calls(double x);
double open_us_of_calls(double x);
double grant_request_us_of_accounts(double x);
double issuer_bytes_of_accounts(double x);
/* Calls: at the node where they enter, and at the gate of the called one. */
double entry_us_of_calls(double x);
double entry_bytes_of_calls(double x);
double entry_tick_us_of_calls(double x);
double gate_us_of_records(double x);
double gate_bytes_of_records(double x);
double gate_tick_us_of_records(double x);
double gate_tick_us_of_open(double x);
/* Finding the host of a token bucket, and the parent to poll. */
double bucket_us_of_hosts(double x);
double find_parent_us_of_hosts(double x);

#endif
