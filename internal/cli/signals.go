package cli

import (
	"context"
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

// signalObserver receives the signals to a process.
type signalObserver interface {
	SignalReceived(os.Signal)
	// SettingsChecked gets the result of a check of the settings file.
	SettingsChecked(error)
}

// follow returns a context that is done after the first signal to stop. On others it only
// checks the settings and reports the result: addresses do not change while a process runs.
func (s hostSignals) follow(observer signalObserver, checkSettings func() error) context.Context {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		observer.SignalReceived(<-s.stop)
		stop()
	}()
	go func() {
		for signal := range s.reload {
			observer.SignalReceived(signal)
			observer.SettingsChecked(checkSettings())
		}
	}()
	return ctx
}
