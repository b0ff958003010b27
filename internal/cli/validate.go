package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/settings"
)

type validateCommand struct {
	settings bool
}

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "validate configurations or settings" }
func (*validateCommand) Usage() string {
	return `validate [-settings] FILE...
  Validates configurations, or settings with -settings, and prints each fault
  with its line and its path in the document. Exits with 1 if there are any.
`
}

func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.settings, "settings", false, "validate the files as settings of entry hosts")
}

func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usageError("validate needs at least one file")
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := c.check(path); err != nil {
			status = subcommands.ExitFailure
			_, _ = fmt.Fprintf(os.Stderr, "%s:\n%v\n", path, err)
			continue
		}
		fmt.Printf("%s: valid\n", path)
	}
	return status
}

func (c *validateCommand) check(path string) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if c.settings {
		_, err = settings.Parse(src)
		return err
	}
	_, err = document.Parse(src)
	return err
}
