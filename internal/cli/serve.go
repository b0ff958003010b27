package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/marigoldmux/marigoldmux/internal/dev"
	"github.com/marigoldmux/marigoldmux/internal/host"
	"github.com/marigoldmux/marigoldmux/internal/settings"
	"github.com/marigoldmux/marigoldmux/internal/stdlog"
)

type serveCommand struct {
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one entry host" }
func (*serveCommand) Usage() string {
	return `serve -settings FILE
  Runs one entry host until SIGTERM, SIGINT or a reclaim notice, then stops it
  gracefully.
`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the settings `file`, JSON with comments")
}

func (c *serveCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usageError("serve needs -settings FILE")
	}
	signals := notifyHost()
	s, err := loadSettings(signals, c.settings, settings.Load)
	if err != nil {
		return startFailed(err)
	}
	sink := stdlog.NewSink(os.Stderr)
	defer sink.Drain(logDrainTimeout)
	events, err := newLogger(sink, s.LogLevel)
	if err != nil {
		return fail(err)
	}
	events.CaptureReports()
	deps, err := dev.Dependencies(s, events, uint64(time.Now().UnixNano()))
	if err != nil {
		return fail(err)
	}
	h, err := host.New(s, deps)
	if err != nil {
		return fail(err)
	}
	stopping := signals.follow(h, func() error {
		_, err := settings.Load(c.settings)
		return err
	})
	listener, err := h.Listen(stopping)
	if stopping.Err() != nil {
		return subcommands.ExitSuccess
	}
	if err != nil {
		return fail(err)
	}
	if err := h.Start(listener); err != nil {
		return fail(err)
	}
	h.AwaitLeaving(stopping)
	if err := h.Stop(context.Background()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n  Prints the version of the program.\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("marigoldmux", buildVersion())
	return subcommands.ExitSuccess
}
