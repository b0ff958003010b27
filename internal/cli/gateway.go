package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway"
	"github.com/marigoldmux/marigoldmux/internal/gateway/options"
	"github.com/marigoldmux/marigoldmux/internal/gateway/stdlog"
	"github.com/marigoldmux/marigoldmux/platform"
)

// Memory of a gateway.
const (
	// gcPercent makes the collector run early; memory costs more than time.
	gcPercent = 40
	// limitShare is the part of the memory from which the collector runs
	// without pause, in percent.
	limitShare = 80
	// drainLog bounds the wait for the last lines of the log.
	drainLog = 100 * time.Millisecond
)

type gatewayCommand struct {
	settings string
}

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run one entry host on the users' platform" }
func (*gatewayCommand) Usage() string {
	return `gateway [-settings FILE]
  Runs one entry host that passes requests through to upstreams, until SIGTERM
  or SIGINT, then stops it gracefully. Without -settings, the platform says
  which file holds the settings.
`
}

func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", platform.SettingsFile(), "the settings `file`, JSON with comments")
}

func (c *gatewayCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	o, err := options.Load(c.settings)
	if err != nil {
		return fail(fmt.Errorf("%s:\n%w", c.settings, err))
	}
	debug.SetGCPercent(gcPercent)
	if o.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(o.MemoryMB) << 20 * limitShare / 100)
	}
	sink := stdlog.NewSink(os.Stdout)
	defer sink.Drain(drainLog)
	g := gateway.New(o, platform.Ports(o.Log, o.Cloud, o.Host), event.NewLogger(stdlog.Logger(sink, zapcore.InfoLevel)), sink)
	if err := g.Run(c.signals(g)); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// signals returns a channel that is closed on a signal to stop. The signal to
// read the settings again checks them; addresses do not change while a process
// runs.
func (c *gatewayCommand) signals(g *gateway.Gateway) <-chan struct{} {
	received := make(chan os.Signal, 4)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	stop := make(chan struct{})
	go func() {
		for s := range received {
			if s != syscall.SIGHUP {
				close(stop)
				return
			}
			_, err := options.Load(c.settings)
			g.SettingsReloaded(err)
		}
	}()
	return stop
}
