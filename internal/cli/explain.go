package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/gateway/explain"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// exitNotConfigured is the exit code of explain for a route, customer or host name that the
// configuration does not have.
const exitNotConfigured subcommands.ExitStatus = 3

// explainTimeout bounds the wait for the host's answer.
const explainTimeout = 10 * time.Second

type explainCommand struct {
	address  string
	prompt   string
	deadline time.Duration
	asJSON   bool
	query    explain.Query
	out      io.Writer
}

func newExplainCommand() *explainCommand { return &explainCommand{out: os.Stdout} }

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "print where a gateway host would send a request now"
}
func (*explainCommand) Usage() string {
	return `explain -address HOST:METRICSPORT (-route NAME | -host NAME [-path PATH]) [-customer NAME]
    [-model NAME] [-prompt ID:TOKENS,...] [-output TOKENS] [-deadline DURATION] [-json]
  Asks a running gateway host where it would send a request now, and why,
  without sending it. Without -customer, no quota is checked.
  Exit codes: 0 answered, also if the request would be refused, 1 failure,
  2 wrong usage, 3 the configuration has no such route, customer or host name.
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "the metrics address of the gateway `host`, an IP and port")
	f.StringVar(&c.query.Route, "route", "", "the `name` of the request's route")
	f.StringVar(&c.query.Host, "host", "", "the host `name` that the request is for")
	f.StringVar(&c.query.Path, "path", "", "the `path` of the request; default /")
	f.StringVar(&c.query.Customer, "customer", "", "the `name` of the customer that sends the request")
	f.StringVar(&c.query.Model, "model", "", "the `name` of the model that the prompt is for")
	f.StringVar(&c.prompt, "prompt", "", "the `parts` of the prompt in order, the shared ones first, each ID:TOKENS")
	f.IntVar(&c.query.OutputTokens, "output", 0, "the longest output in `tokens`")
	f.DurationVar(&c.deadline, "deadline", 0, "how long the caller waits; default as for a request that does not state it")
	f.BoolVar(&c.asJSON, "json", false, "print the answer as JSON")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.complete(f); err != nil {
		return usageError("explain: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var answer explain.Answer
	err := httpjson.Call(ctx, httpjson.NewSingleUseClient(), http.MethodPost, "http://"+c.address+explain.Path, &c.query, &answer)
	var status *httpjson.StatusError
	switch {
	case errors.As(err, &status) && status.Code == http.StatusNotFound && strings.Contains(status.Message, explain.ErrUnknown.Error()):
		_ = fail(eris.New(status.Message))
		return exitNotConfigured
	case err != nil:
		return fail(eris.Wrapf(err, "ask host %s", c.address))
	}
	if err := c.print(&answer); err != nil {
		return fail(eris.Wrap(err, "print"))
	}
	return subcommands.ExitSuccess
}

// complete fills the query from the flags and checks it.
func (c *explainCommand) complete(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return fmt.Errorf("unknown argument %q", f.Arg(0))
	}
	if c.address == "" {
		return errors.New("-address must be given")
	}
	if c.query.Host != "" && c.query.Path == "" {
		c.query.Path = "/"
	}
	if c.deadline < 0 || c.deadline%time.Millisecond != 0 {
		return errors.New("-deadline must be a positive number of milliseconds")
	}
	c.query.DeadlineMs = c.deadline.Milliseconds()
	parts, err := parseParts(c.prompt)
	if err != nil {
		return err
	}
	c.query.Parts = parts
	return c.query.Check()
}

// parseParts parses the parts of a prompt. An ID may contain colons.
func parseParts(text string) ([]explain.Part, error) {
	if text == "" {
		return nil, nil
	}
	var parts []explain.Part
	for field := range strings.SplitSeq(text, ",") {
		i := strings.LastIndexByte(field, ':')
		if i < 0 {
			return nil, fmt.Errorf("part %q of -prompt is not ID:TOKENS", field)
		}
		tokens, err := strconv.Atoi(field[i+1:])
		if err != nil {
			return nil, fmt.Errorf("part %q of -prompt is not ID:TOKENS", field)
		}
		parts = append(parts, explain.Part{ID: strings.TrimSpace(field[:i]), Tokens: tokens})
	}
	return parts, nil
}

func (c *explainCommand) print(answer *explain.Answer) error {
	if !c.asJSON {
		return answer.Text(c.out)
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(answer)
}
