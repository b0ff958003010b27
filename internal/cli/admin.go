package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/publish"
	"github.com/marigoldmux/marigoldmux/internal/textdiff"
)

// Exit codes of the commands that change the configuration, in addition to those
// that all commands have.
const (
	exitFaults      subcommands.ExitStatus = 3
	exitLostRace    subcommands.ExitStatus = 4
	exitNotAccepted subcommands.ExitStatus = 5
	exitUnknown     subcommands.ExitStatus = 6
)

const (
	adminTimeout  = 30 * time.Second
	columnPadding = 2
	// tokenVariable is the environment variable that holds the caller's token.
	tokenVariable = "MARIGOLDMUX_TOKEN"
)

const putExitCodes = `  Exit codes: 0 accepted, 1 failure, 2 wrong usage, 3 faults in the document,
  4 another document was accepted first, 5 nothing was accepted (the log is
  down), 6 outcome unknown: check the configuration before you retry.
`

// connection holds the flags for reaching the administration API.
type connection struct {
	address   string
	tokenFile string
	caFile    string
}

func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:8080", "the `host` to connect to, an IP and port or a URL")
	f.StringVar(&c.tokenFile, "token-file", "", "the `file` with the token; default $"+tokenVariable)
	f.StringVar(&c.caFile, "ca", "", "the PEM `file` with the CA certificates for an https host")
}

func (c *connection) client() (*admin.Client, error) {
	token := os.Getenv(tokenVariable)
	if c.tokenFile != "" {
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	transport := &http.Transport{}
	if c.caFile != "" {
		pem, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, err
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, eris.Errorf("%s holds no certificate", c.caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	}
	base := c.address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return admin.NewClient(base, token, &http.Client{Transport: transport, Timeout: adminTimeout}), nil
}

// run calls f with a client. It prints an error and returns the exit code for a
// failure.
func (c *connection) run(f func(*admin.Client) (subcommands.ExitStatus, error)) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	status, err := f(client)
	if err != nil {
		return fail(err)
	}
	return status
}

// printPutResponse prints the outcome of a change and returns its exit code.
func printPutResponse(resp admin.PutResponse) subcommands.ExitStatus {
	switch {
	case resp.Status == publish.Accepted:
		fmt.Printf("accepted at offset %d\n", resp.Offset)
		return subcommands.ExitSuccess
	case len(resp.Faults) > 0:
		_, _ = fmt.Fprintf(os.Stderr, "%v\nnothing was accepted\n", resp.Faults)
		return exitFaults
	}
	_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", resp.Status, resp.Detail)
	switch resp.Status {
	case publish.LostRace:
		if resp.Current != nil {
			_, _ = fmt.Fprintf(os.Stderr, "offset %d is active; show it with: marigoldmux config get\n", resp.Current.Offset)
		}
		return exitLostRace
	case publish.NotAccepted:
		return exitNotAccepted
	default:
		return exitUnknown
	}
}

type configCommand struct {
	connection
	base int64
	note string
}

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "read or change the active configuration" }
func (*configCommand) Usage() string {
	return `config [-address HOST] get | diff FILE | [-base OFFSET] [-note TEXT] put FILE
  get prints the active configuration, and its offset on standard error.
  diff compares it with a file and exits with 1 if they differ.
  put replaces the configuration at the -base offset by a file; without -base
  it replaces the active one.
` + putExitCodes
}

func (c *configCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Int64Var(&c.base, "base", -1, "the `offset` of the configuration that the file replaces")
	f.StringVar(&c.note, "note", "", "the reason, for the audit trail")
}

func (c *configCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.NArg() == 1 && f.Arg(0) == "get":
		return c.run(func(client *admin.Client) (subcommands.ExitStatus, error) { return c.get(ctx, client) })
	case f.NArg() == 2 && f.Arg(0) == "diff":
		return c.run(func(client *admin.Client) (subcommands.ExitStatus, error) { return c.diff(ctx, client, f.Arg(1)) })
	case f.NArg() == 2 && f.Arg(0) == "put":
		return c.run(func(client *admin.Client) (subcommands.ExitStatus, error) { return c.put(ctx, client, f.Arg(1)) })
	default:
		return usageError("config needs get, diff FILE or put FILE")
	}
}

func (*configCommand) get(ctx context.Context, client *admin.Client) (subcommands.ExitStatus, error) {
	config, err := client.Config(ctx)
	if err != nil {
		return subcommands.ExitFailure, err
	}
	fmt.Print(config.Document)
	_, _ = fmt.Fprintf(os.Stderr, "offset %d\n", config.Offset)
	return subcommands.ExitSuccess, nil
}

func (*configCommand) diff(ctx context.Context, client *admin.Client, path string) (subcommands.ExitStatus, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return subcommands.ExitFailure, err
	}
	config, err := client.Config(ctx)
	if err != nil {
		return subcommands.ExitFailure, err
	}
	diff := textdiff.Unified(config.Document, string(text), fmt.Sprintf("offset %d", config.Offset), path)
	if diff == "" {
		return subcommands.ExitSuccess, nil
	}
	fmt.Print(diff)
	return subcommands.ExitFailure, nil
}

func (c *configCommand) put(ctx context.Context, client *admin.Client, path string) (subcommands.ExitStatus, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return subcommands.ExitFailure, err
	}
	base := c.base
	if base < 0 {
		config, err := client.Config(ctx)
		if err != nil {
			return subcommands.ExitFailure, err
		}
		base = config.Offset
	}
	resp, err := client.Put(ctx, admin.Change{Base: base, Document: string(text), Note: c.note})
	if err != nil {
		return subcommands.ExitFailure, err
	}
	return printPutResponse(resp), nil
}

type zoneCommand struct {
	connection
}

func (*zoneCommand) Name() string     { return "zone" }
func (*zoneCommand) Synopsis() string { return "take an availability zone out of service or back in" }
func (*zoneCommand) Usage() string {
	return "zone [-address HOST] out|in NAME\n  Takes an availability zone out of service, so that it gets no new requests,\n  or back in.\n" + putExitCodes
}
func (c *zoneCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *zoneCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state := document.ZoneState(f.Arg(0))
	if f.NArg() != 2 || (state != document.ZoneServing && state != document.ZoneExcluded) {
		return usageError("zone needs out or in, and the name of an availability zone")
	}
	return c.run(func(client *admin.Client) (subcommands.ExitStatus, error) {
		resp, err := client.SetZone(ctx, f.Arg(1), state)
		if err != nil {
			return subcommands.ExitFailure, err
		}
		return printPutResponse(resp), nil
	})
}

type statusCommand struct {
	connection
	json bool
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "show the configuration of each host and the rollouts"
}
func (*statusCommand) Usage() string {
	return `status [-address HOST] [-json]
  Shows the offset of the configuration on each host, whether the log service
  is up, and the rollouts. Exits with 1 unless all hosts have the active
  configuration.
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(func(client *admin.Client) (subcommands.ExitStatus, error) {
		status, err := client.Status(ctx)
		if err != nil {
			return subcommands.ExitFailure, err
		}
		code := subcommands.ExitSuccess
		if !status.Everywhere {
			code = subcommands.ExitFailure
		}
		if c.json {
			return code, printJSON(status)
		}
		return code, printStatus(os.Stdout, status)
	})
}

func printStatus(out io.Writer, status admin.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintf(w, "offset %d at %s; log service up: %t; in force on all hosts: %t\n\n",
		status.Offset, status.Host, status.LogUp, status.Everywhere)
	_, _ = fmt.Fprintln(w, "HOST\tZONE\tOFFSET\tLOG UP\tSTATE")
	for _, host := range status.Hosts {
		state := "serving"
		switch {
		case !host.Reached:
			_, _ = fmt.Fprintf(w, "%s\t%s\t-\t-\tno answer\n", host.ID, host.Zone)
			continue
		case host.Leaving:
			state = "leaving"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%s\n", host.ID, host.Zone, host.Offset, host.LogUp, state)
	}
	_, _ = fmt.Fprintln(w)
	printRollouts(w, status.Rollouts)
	return w.Flush()
}

func printRollouts(w io.Writer, rollouts []admin.Rollout) {
	if len(rollouts) == 0 {
		_, _ = fmt.Fprintln(w, "no rollouts")
		return
	}
	_, _ = fmt.Fprintln(w, "SERVICE\tVERSION\tPHASE\tBY\tREASON")
	for _, r := range rollouts {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Service, r.Version, r.Phase, r.By.Format(time.RFC3339), r.Reason)
	}
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type rolloutsCommand struct {
	connection
}

func (*rolloutsCommand) Name() string     { return "rollouts" }
func (*rolloutsCommand) Synopsis() string { return "show the rollouts of new versions" }
func (*rolloutsCommand) Usage() string {
	return "rollouts [-address HOST]\n  Shows the phase of each rollout of a new version, and the reason for it.\n"
}
func (c *rolloutsCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *rolloutsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(func(client *admin.Client) (subcommands.ExitStatus, error) {
		list, err := client.Rollouts(ctx)
		if err != nil {
			return subcommands.ExitFailure, err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
		printRollouts(w, list)
		return subcommands.ExitSuccess, w.Flush()
	})
}

type reportCommand struct {
	connection
	json bool
}

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "show the error budget burn rates of all hosts" }
func (*reportCommand) Usage() string {
	return `report [-address HOST] [-json]
  Shows the burn rate and the rest of the error budget for each service, route
  and customer, and which version, availability zone or upstream used it up.
`
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *reportCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(func(client *admin.Client) (subcommands.ExitStatus, error) {
		report, err := client.Report(ctx)
		if err != nil {
			return subcommands.ExitFailure, err
		}
		if c.json {
			return subcommands.ExitSuccess, printJSON(report)
		}
		return subcommands.ExitSuccess, report.WriteText(os.Stdout)
	})
}
