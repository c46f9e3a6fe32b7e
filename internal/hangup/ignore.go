package hangup

// The C library runs constructors before the Go runtime starts. The runtime keeps the signal ignored until it is received.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
