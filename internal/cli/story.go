package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/story"
)

type storyCommand struct {
	request string
	in      io.Reader
	out     io.Writer
}

func newStoryCommand() *storyCommand { return &storyCommand{in: os.Stdin, out: os.Stdout} }

func (*storyCommand) Name() string     { return "story" }
func (*storyCommand) Synopsis() string { return "print the log lines about one request" }
func (*storyCommand) Usage() string {
	return `story -request ID [FILE...]
  Reads logs of hosts, one FILE per host or standard input, and prints the
  lines that explain what happened to a request, ordered by time.
`
}

func (c *storyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request, "request", "", "the `ID` of the request")
}

func (c *storyCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.request == "" {
		return usageError("story: -request must be given")
	}
	lines, err := c.read(f.Args())
	if err != nil {
		return fail(err)
	}
	explained, err := story.Explain(lines, c.request)
	if err != nil {
		return fail(err)
	}
	for i := range explained {
		if _, err := fmt.Fprintln(c.out, storyLine(&explained[i])); err != nil {
			return fail(eris.Wrap(err, "print"))
		}
	}
	return subcommands.ExitSuccess
}

// read returns the lines of the files, or of c.in if there are none. The name of
// a file without its extension names the host.
func (c *storyCommand) read(files []string) ([]story.Line, error) {
	if len(files) == 0 {
		lines, _, err := story.Read(c.in, "-")
		return lines, err
	}
	var all []story.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open log")
		}
		host := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		lines, _, err := story.Read(file, host)
		_ = file.Close()
		if err != nil {
			return nil, eris.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

const storyTimeLayout = "15:04:05.000"

func storyLine(l *story.Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s", l.At.Format(storyTimeLayout), l.Source, l.Event, l.Message)
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			value = []byte(err.Error())
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}
