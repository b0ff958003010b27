// Command marigoldmux runs an entry host or a tool for operating entry hosts.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/marigoldmux/marigoldmux/internal/cli"
	_ "github.com/marigoldmux/marigoldmux/internal/modules"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	cli.Register()
	flag.Parse()
	cli.RestoreSignals(flag.Arg(0))
	os.Exit(int(subcommands.Execute(context.Background())))
}
