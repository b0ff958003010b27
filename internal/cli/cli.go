// Package cli implements the subcommands of the program. Exit codes: 0 for
// success, 1 for a failure, 2 for wrong usage; the commands that change the
// configuration have further ones.
package cli

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/stdlog"
)

// Register registers all subcommands with the subcommands package.
func Register() {
	subcommands.Register(&serveCommand{}, "running")
	subcommands.Register(&gatewayCommand{}, "running")
	subcommands.Register(&devCommand{}, "running")
	subcommands.Register(&configCommand{}, "administrating")
	subcommands.Register(&zoneCommand{}, "administrating")
	subcommands.Register(&statusCommand{}, "administrating")
	subcommands.Register(&rolloutsCommand{}, "administrating")
	subcommands.Register(&reportCommand{}, "administrating")
	subcommands.Register(newStoryCommand(), "administrating")
	subcommands.Register(newExplainCommand(), "administrating")
	subcommands.Register(&validateCommand{}, "checking")
	subcommands.Register(&versionCommand{}, "checking")
	subcommands.Register(&capacityCommand{}, "measuring")
}

// Limits on repeated lines of a log: in each second, the first sampleFirst lines of each
// event are written and then one in sampleEvery.
const (
	sampleFirst = 100
	sampleEvery = 100
)

// messageTimeout bounds the wait for a reader of standard error that stalls.
const messageTimeout = time.Second

// fail prints err on standard error and returns the exit code for a failure.
func fail(err error) subcommands.ExitStatus {
	sink := stdlog.NewSink(os.Stderr)
	_, _ = fmt.Fprintln(sink, "marigoldmux:", err)
	sink.Drain(messageTimeout)
	return subcommands.ExitFailure
}

// usageError prints a message about wrong arguments on standard error and
// returns the exit code for wrong usage.
func usageError(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(os.Stderr, "marigoldmux: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

// newLogger returns a logger that writes JSON lines to a stream. An empty level means
// info.
func newLogger(stream zapcore.WriteSyncer, level string) (*event.Logger, error) {
	parsed := zapcore.InfoLevel
	if level != "" {
		if err := parsed.Set(level); err != nil {
			return nil, err
		}
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), stream, parsed)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEvery)
	return event.NewLogger(zap.New(sampled, zap.AddStacktrace(zapcore.ErrorLevel), zap.ErrorOutput(stream))), nil
}

// buildVersion returns the version of the main module in the build information,
// or "unknown".
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
