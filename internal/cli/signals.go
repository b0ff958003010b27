package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/marigoldmux/marigoldmux/internal/hangup"
)

// RestoreSignals lets signals have their usual effect on the process, unless the
// subcommand with the given name runs a host and handles them.
func RestoreSignals(command string) {
	switch command {
	case (*gatewayCommand)(nil).Name(), (*serveCommand)(nil).Name():
	default:
		hangup.Restore()
	}
}

// hostSignals are the signals to a process that runs a host.
type hostSignals struct {
	// stop receives the first signal to stop, and reload those after which the settings
	// are read. They are apart so that reloads do not delay or displace a stop.
	stop, reload chan os.Signal
}

// notifyHost starts to handle the signals to a process that runs a host. From then on a
// write to a standard stream whose reader has gone fails and does not end the process.
func notifyHost() hostSignals {
	signal.Ignore(syscall.SIGPIPE)
	s := hostSignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}
