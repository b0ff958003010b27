package cli

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/marigoldmux/marigoldmux/internal/stdlog"
)

// Settings that cannot be loaded are read again every settingsInterval for settingsTimeout,
// since the file may be about to be replaced.
const (
	settingsTimeout  = 3 * time.Second
	settingsInterval = 50 * time.Millisecond
)

// errStopped is the error of a start during which the process was asked to stop.
var errStopped = errors.New("asked to stop")

// loadSettings loads the settings file of a host. While it is missing or invalid, it prints
// the first error and tries again for a while, or until the process is asked to stop.
func loadSettings[Settings any](signals hostSignals, path string, load func(string) (Settings, error)) (Settings, error) {
	timeout := time.After(settingsTimeout)
	for first := true; ; first = false {
		s, err := load(path)
		if err == nil {
			return s, nil
		}
		err = fmt.Errorf("%s:\n%w", path, err)
		if first {
			// The sink does not wait for a reader of the message.
			_, _ = fmt.Fprintf(stdlog.NewSink(os.Stderr), "marigoldmux: %v\ntrying again for %v\n", err, settingsTimeout)
		}
		select {
		case <-signals.stop:
			return s, errStopped
		case <-timeout:
			return s, err
		case <-time.After(settingsInterval):
		}
	}
}

// startFailed returns the exit code for an error of loadSettings.
func startFailed(err error) subcommands.ExitStatus {
	if errors.Is(err, errStopped) {
		return subcommands.ExitSuccess
	}
	return fail(err)
}
