/*
 * The measured points. Each makes a node in a fleet where x is the number of
 * what the name says and gives one figure; times are microseconds of the
 * thread's processor time.
 */
#ifndef BENCH_POINTS_H
#define BENCH_POINTS_H

/* From now on what is not varied is as in a fleet of 17 hosts. */
void points_use_small_fleet(void);
/* The view: two are held, as after any change. */
double view_bytes_of_hosts(double x);
double view_bytes_of_services(double x);
double view_bytes_of_accounts(double x);
/* Booting: taking all sections; giving them to another; their bytes. */
double boot_us_of_hosts(double x);
double full_view_us_of_hosts(double x);
double full_view_bytes_of_hosts(double x);
double full_view_bytes_of_services(double x);
double full_view_bytes_of_accounts(double x);
/* One change taken, the view built anew and followed. */
double host_change_us_of_hosts(double x);
double host_change_us_of_services(double x);
double host_change_us_of_accounts(double x);
double service_change_us_of_hosts(double x);
double accounts_change_us_of_accounts(double x);
/* A VIEW_ASK without news, served. */
double empty_poll_us_of_hosts(double x);
/* A relay or reader with x children: a second of asks and heartbeats. */
double relay_us_of_children(double x);
double relay_bytes_of_children(double x);
double store_read_us_of_hosts(double x);
/* A node that asks its parent: bytes a second. */
double poll_bytes_of_hosts(double x);
double idle_us_of_hosts(double x);
double tick_us_of_hosts(double x);
/* Heartbeats of x links with 1 or 12 calls a second each, or 120 in all. */
double quiet_bytes_of_links(double x);
double quiet_messages_of_links(double x);
double busy_bytes_of_links(double x);
double busy_messages_of_links(double x);
double spread_bytes_of_links(double x);
double tick_us_of_links(double x);
double heartbeat_us_of_links(double x);
double link_bytes_of_links(double x);
/* Grants: asked for at 120 calls a second or of 8 accounts; minted. */
double grant_messages_of_accounts(double x);
double grant_bytes_of_accounts(double x);
double grant_messages_of_calls(double x);
double grant_bytes_of_calls(double x);
double keyed_us_of_calls(double x);
double open_us_of_calls(double x);
double mint_ask_us_of_accounts(double x);
double mint_bytes_of_accounts(double x);
/* Calls, entering and served. */
double entry_us_of_calls(double x);
double entry_bytes_of_calls(double x);
double entry_tick_us_of_calls(double x);
double gate_us_of_records(double x);
double gate_bytes_of_records(double x);
double gate_tick_us_of_records(double x);
double gate_tick_us_of_open(double x);
/* Placement, for each bucket and each poll. */
double bucket_us_of_hosts(double x);
double find_parent_us_of_hosts(double x);

#endif
