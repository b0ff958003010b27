package cli

import (
	"context"
	"flag"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway"
	"github.com/marigoldmux/marigoldmux/internal/gateway/options"
	"github.com/marigoldmux/marigoldmux/internal/stdlog"
	"github.com/marigoldmux/marigoldmux/platform"
)

const (
	// gcPercent makes the garbage collector run early: memory is scarcer than
	// processor time on a gateway host.
	gcPercent = 40
	// memoryLimitPercent is the soft memory limit of the runtime as a share of the
	// memory of the gateway. The collector runs continuously above it.
	memoryLimitPercent = 80
	// logDrainTimeout bounds the wait for the last log lines at the exit.
	logDrainTimeout = 100 * time.Millisecond
)

type gatewayCommand struct {
	settings string
}

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run one gateway host on the users' platform" }
func (*gatewayCommand) Usage() string {
	return `gateway [-settings FILE]
  Runs one gateway host that forwards requests to upstreams, until SIGTERM or
  SIGINT, then stops it gracefully. Without -settings, the platform package
  names the settings file.
`
}

func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", platform.SettingsFile(), "the settings `file`, JSON with comments")
}

func (c *gatewayCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	signals := notifyHost()
	o, err := loadSettings(signals, c.settings, options.Load)
	if err != nil {
		return startFailed(err)
	}
	debug.SetGCPercent(gcPercent)
	if o.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(o.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	sink := stdlog.NewSink(os.Stdout)
	defer sink.Drain(logDrainTimeout)
	events := event.NewLogger(stdlog.Logger(sink, zapcore.InfoLevel))
	events.CaptureReports()
	g := gateway.New(o, platform.Ports(o.Log, o.Cloud, o.Host), events, sink)
	stopping := signals.follow(g, func() error {
		_, err := options.Load(c.settings)
		return err
	})
	if err := g.Run(stopping.Done()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
