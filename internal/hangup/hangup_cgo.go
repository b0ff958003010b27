//go:build cgo

package hangup

/*
#include <signal.h>

static int inherited;

// Runs before the Go runtime installs its handlers, which would end the process. The
// runtime leaves a signal that is ignored as it is.
__attribute__((constructor)) static void ignore_hangup(void) {
	inherited = signal(SIGHUP, SIG_IGN) == SIG_IGN;
}

static void restore_hangup(void) {
	if (!inherited) signal(SIGHUP, SIG_DFL);
}
*/
import "C"

// Restore lets SIGHUP end the process again, unless it was ignored when the process was
// started.
func Restore() { C.restore_hangup() }
