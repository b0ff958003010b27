package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/marigoldmux/marigoldmux/internal/capacity"
)

type capacityCommand struct {
	hosts  string
	target bool
	seed   uint64
}

func (*capacityCommand) Name() string { return "capacity" }
func (*capacityCommand) Synopsis() string {
	return "measure the cost of the control plane per host as a deployment grows"
}
func (*capacityCommand) Usage() string {
	return `capacity [-hosts 9,30,90,270] [-target]
  Runs the control plane of whole deployments of several sizes in this process,
  without a network, and prints its cost per host. With -target it also measures
  the target size of docs/CAPACITY.md.
`
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "9,30,90,270", "the `numbers` of hosts to measure")
	f.BoolVar(&c.target, "target", false, "also measure the target size of 710 hosts")
	f.Uint64Var(&c.seed, "seed", 1, "the `seed` of all random choices")
}

func (c *capacityCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var samples []capacity.Sample
	for text := range strings.SplitSeq(c.hosts, ",") {
		hosts, err := strconv.Atoi(text)
		if err != nil || hosts < 1 {
			return usageError("%q is not a number of hosts", text)
		}
		sample, err := capacity.Measure(capacity.Scaled(hosts), c.seed)
		if err != nil {
			return fail(err)
		}
		samples = append(samples, sample)
	}
	call, overhead, err := capacity.CallCost()
	if err != nil {
		return fail(err)
	}
	fitted := samples
	if c.target {
		sample, err := capacity.Measure(capacity.Target, c.seed)
		if err != nil {
			return fail(err)
		}
		samples = append(samples, sample)
	}
	printSamples(samples)
	fmt.Printf("\na call between peers takes %v of processor time, both ends together, and %d bytes around its message\n", call, overhead)
	printFits(fitted)
	return subcommands.ExitSuccess
}

func printSamples(samples []capacity.Sample) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "hosts\tupstreams\tcalls/s\tKB/s\tmax KB/s\t% core\tmax % core\tMB\tdocument KB\tchange KB\tchange ms\trestart KB\tzone KB\tin force s\t")
	for _, s := range samples {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%.1f\t%.2f\t%.2f\t%.3f\t%.3f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t\n",
			s.Size.Hosts, s.Size.Upstreams, s.Mean.Calls, s.Mean.Bytes/1e3, s.Max.Bytes/1e3,
			100*s.Mean.Core, 100*s.Max.Core, s.Heap/1e6, float64(s.Document)/1e3,
			s.Change.Bytes/1e3, float64(s.Change.Busy.Microseconds())/1e3,
			s.Restart.Bytes/1e3, s.Zone.Bytes/1e3, s.TimeToApply.Seconds())
	}
	_ = w.Flush()
	for _, s := range samples {
		fmt.Printf("bytes a second of each kind of message, %d hosts: %v\n", s.Size.Hosts, s.ByKind)
	}
}

func printFits(samples []capacity.Sample) {
	values := []struct {
		name  string
		value func(capacity.Sample) float64
	}{
		{"calls/s", func(s capacity.Sample) float64 { return s.Mean.Calls }},
		{"KB/s", func(s capacity.Sample) float64 { return s.Mean.Bytes / 1e3 }},
		{"max KB/s", func(s capacity.Sample) float64 { return s.Max.Bytes / 1e3 }},
		{"% core", func(s capacity.Sample) float64 { return 100 * s.Mean.Core }},
		{"max % core", func(s capacity.Sample) float64 { return 100 * s.Max.Core }},
		{"MB", func(s capacity.Sample) float64 { return s.Heap / 1e6 }},
		{"change ms", func(s capacity.Sample) float64 { return float64(s.Change.Busy.Microseconds()) / 1e3 }},
	}
	fmt.Println("\nfit by least squares over the hosts, and its value at the target:")
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "value\tbase\tslope a host\tlargest error\tat 710 hosts\t")
	for _, v := range values {
		line := capacity.Fit(samples, v.value)
		_, _ = fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.0f%%\t%.4g\t\n",
			v.name, line.Base, line.Slope, 100*line.Error, line.At(float64(capacity.Target.Hosts)))
	}
	_ = w.Flush()
}
