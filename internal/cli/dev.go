package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/dev"
)

const (
	devReadyTimeout = 30 * time.Second
	devSmokeTimeout = 2 * time.Minute
	devStopTimeout  = 10 * time.Second
)

type devCommand struct {
	deployment string
	hosts      int
	smoke      bool
	seed       uint64
	logLevel   string
	port       int
}

func (*devCommand) Name() string { return "dev" }
func (*devCommand) Synopsis() string {
	return "run a whole deployment on loopback with simulated services"
}
func (*devCommand) Usage() string {
	return `dev [-deployment fundacion|chomkaew] [-hosts N] [-port N] [-smoke]
  Runs entry hosts and simulations of the platform and the upstreams in one
  process on loopback, and prints the addresses of the hosts. With -smoke it
  sends one request of each kind, and exits with 0 only if all responses are
  correct.
`
}

func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", deploy.Names()[0], "the example `deployment` to run")
	f.IntVar(&c.hosts, "hosts", 3, "the `number` of entry hosts")
	f.BoolVar(&c.smoke, "smoke", false, "send one request of each kind and exit")
	f.Uint64Var(&c.seed, "seed", 1, "the `seed` of all random choices")
	f.IntVar(&c.port, "port", 8080, "the `port` of the first entry host; the others use the following ports")
	f.StringVar(&c.logLevel, "log", "warn", "the minimum `level` of logged events")
}

func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	config, err := deploy.Config(c.deployment)
	if err != nil {
		return usageError("%v", err)
	}
	if c.hosts < 1 {
		return usageError("dev needs at least one host")
	}
	events, err := newLogger(zapcore.Lock(os.Stderr), c.logLevel)
	if err != nil {
		return usageError("%v", err)
	}
	if c.smoke {
		c.port = 0
	}
	system, err := dev.Start(dev.Options{Port: c.port, Config: config, Hosts: c.hosts, Events: events, Seed: c.seed})
	if err != nil {
		return fail(err)
	}
	defer system.Close()
	ready, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	if err := system.AwaitReady(ready); err != nil {
		return fail(err)
	}
	if c.smoke {
		return c.runSmoke(ctx, system)
	}
	return c.serve(ctx, system)
}

func (c *devCommand) runSmoke(ctx context.Context, system *dev.System) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, devSmokeTimeout)
	defer cancel()
	if err := system.Smoke(ctx, os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *devCommand) serve(ctx context.Context, system *dev.System) subcommands.ExitStatus {
	for _, h := range system.Hosts {
		fmt.Printf("%s in %s: http://%s\n", h.Self().ID, h.Self().Zone, h.Self().Address)
	}
	fmt.Println("stop with Ctrl-C")
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancel()
	for _, h := range system.Hosts {
		if err := h.Stop(stopping); err != nil {
			return fail(err)
		}
	}
	system.Hosts = nil
	return subcommands.ExitSuccess
}
