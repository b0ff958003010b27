package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnPadding = 2

// Text writes the answer for a reader.
func (a *Answer) Text(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host %s (zone %s), configuration %d, confirmed %.0f ms ago\n", a.Gateway, a.Zone, a.ConfigVersion, a.ConfigAgeMs)
	fmt.Fprintf(&b, "route %s, deadline in %.0f ms\n", a.Route, a.DeadlineMs)
	if a.Note != "" {
		fmt.Fprintf(&b, "quota: %s\n", a.Note)
	}
	if q := a.Quota; q != nil {
		b.WriteString(q.text())
	}
	if a.Refusal != "" {
		fmt.Fprintf(&b, "refused: %s\n", a.Refusal)
	}
	for i := range a.Cases {
		if err := a.Cases[i].write(&b); err != nil {
			return err
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func (q *Quota) text() string {
	unit := "requests"
	if q.InTokens {
		unit = "tokens"
	}
	switch {
	case q.Rate <= 0:
		return fmt.Sprintf("quota of %s: unlimited\n", q.Customer)
	case q.Allowed && q.Chance < 1:
		return fmt.Sprintf("quota of %s: allows %.0f %s (%.0f a second) with a chance of %.3g%%; a refused caller may retry in %.0f ms\n",
			q.Customer, q.Amount, unit, q.Rate, q.Chance*100, q.RetryAfterMs)
	case q.Allowed:
		return fmt.Sprintf("quota of %s: allows %.0f %s (%.0f a second)\n", q.Customer, q.Amount, unit, q.Rate)
	}
	return fmt.Sprintf("quota of %s: refuses %.0f %s (%.0f a second), the caller may retry in %.0f ms\n", q.Customer, q.Amount, unit, q.Rate, q.RetryAfterMs)
}

func (c *Case) write(b *strings.Builder) error {
	fmt.Fprintf(b, "\nservice %s (%.3g%% of requests)", c.Service, c.Share*100)
	if c.RolloutTarget != "" {
		fmt.Fprintf(b, ", rollout to %s", c.RolloutTarget)
	}
	if c.ByExpectedWait {
		fmt.Fprintf(b, ", by expected wait, %s prompt", c.PromptKind)
	}
	if c.PrefillRate > 0 {
		fmt.Fprintf(b, ", engines read %.1f tokens per ms", c.PrefillRate)
	}
	b.WriteString("\n" + c.outcome() + "\n")
	return c.table(b)
}

// outcome says what is chosen, or why nothing is.
func (c *Case) outcome() string {
	switch {
	case c.Refusal != "" && c.RetryAfterMs > 0:
		return fmt.Sprintf("refused: %s; an engine could begin in time in %.0f ms", c.Refusal, c.RetryAfterMs)
	case c.Refusal != "":
		return "refused: " + c.Refusal
	case len(c.Choices) == 1:
		return "chosen: " + c.Choices[0].ID
	}
	names := make([]string, len(c.Choices))
	for i, choice := range c.Choices {
		names[i] = fmt.Sprintf("%s (%.3g%%)", choice.ID, choice.Share*100)
	}
	return "chosen at random among: " + strings.Join(names, ", ")
}

// table writes the upstreams, costs in milliseconds.
func (c *Case) table(b *strings.Builder) error {
	w := tabwriter.NewWriter(b, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "upstream\tzone\tcost\twait\tread\treread\tmiss\tmisplaced\toutput\trequests\tqueue\tlatency\tfailures\tother zone\theld\tslowdown\trunning\ttokens\truled out")
	for _, u := range c.Upstreams {
		rule := u.RuledOut
		if u.PausedForMs > 0 {
			rule += fmt.Sprintf(" for %.0f ms", u.PausedForMs)
		}
		if u.State == nil {
			_, _ = fmt.Fprintf(w, "%s\t%s%s\t%s\n", u.ID, u.Zone, strings.Repeat("\t-", 16), rule)
			continue
		}
		s, k := u.State, &u.Costs
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%s\t%d/%d\t%d\t%s\n", u.ID, u.Zone,
			s.CostMs, k.ExpectedWaitMs, k.ExpectedReadMs, k.RereadMs, k.MissMs, k.MisplacedMs, k.OutputMs, k.RequestsMs, k.QueueMs, k.LatencyMs,
			k.FailuresMs, k.ZoneMs, s.HeldTokens, s.slowdown(), s.Requests, s.Slots, s.Tokens, rule)
	}
	return w.Flush()
}

// slowdown returns the lasting and, if it differs, the momentary slowdown.
func (s *State) slowdown() string {
	switch {
	case s.Slowdown == 0 && s.MomentarySlowdown == 0:
		return "-"
	case s.MomentarySlowdown == 0 || s.MomentarySlowdown == s.Slowdown:
		return fmt.Sprintf("%.2f", s.Slowdown)
	}
	return fmt.Sprintf("%.2f (now %.2f)", s.Slowdown, s.MomentarySlowdown)
}
