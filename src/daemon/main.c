/* ibisraild: the daemon with ibisrail's own dialect. */
#include "daemon/daemon.h"

int
main(int argc, char **argv)
{
	return ir_daemon_main(argc, argv, &ir_native_dialect);
}
