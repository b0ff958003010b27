// Package options reads the settings of a gateway from JSON with comments.
package options

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// ErrInvalid is the root of errors about a settings file that cannot be read.
var ErrInvalid = eris.New("gateway settings are not valid")

// maxPort is the largest TCP or UDP port.
const maxPort = 65535

// Options are the settings of a gateway.
type Options struct {
	Host string `json:"host"`
	// Address is the IP address of the host.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	Listen           Listen `json:"listen"`
	// PeerPort is the UDP port for digests of other hosts.
	PeerPort int `json:"peerPort"`
	// MetricsPort is the TCP port that serves metrics; 0 disables it.
	MetricsPort int `json:"metricsPort,omitempty"`
	// Log is the address of the log and Cloud that of the cloud API. Without
	// Cloud the host does not perform duties.
	Log   string `json:"log"`
	Cloud string `json:"cloud,omitempty"`
	// GracePeriod is the time from the signal to stop until the process is
	// killed.
	GracePeriod jsonc.Duration `json:"gracePeriod"`
	// RevokeKeysWithin is the longest time for which a revoked key may still be
	// accepted.
	RevokeKeysWithin jsonc.Duration `json:"revokeKeysWithin"`
	UsageWindow      jsonc.Duration `json:"usageWindow"`
	// FirstStart is set while the whole deployment starts for the first time.
	FirstStart bool `json:"firstStart,omitempty"`
	// DutyLease is the time in which holders of the duties must not alternate.
	DutyLease   jsonc.Duration `json:"dutyLease"`
	RetryBudget RetryBudget    `json:"retryBudget"`
	// QuotaTolerance is how far the use of a customer may exceed its quota; by
	// default not at all.
	QuotaTolerance QuotaTolerance `json:"quotaTolerance,omitzero"`
	// Strength is what the host can carry compared with others, in any unit.
	// Stronger hosts read the log and sum up digests for others first.
	Strength float64 `json:"strength,omitempty"`
	// MemoryMB is the memory that the process may use, in MiB; 0 means no limit.
	MemoryMB int `json:"memoryMB,omitempty"`
}

// Listen holds the IP addresses and ports to listen on.
type Listen struct {
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Directory string `json:"directory"`
}

// RetryBudget limits the retries of all hosts together.
type RetryBudget struct {
	Ratio  float64        `json:"ratio"`
	Slack  float64        `json:"slack"`
	Window jsonc.Duration `json:"window"`
}

// QuotaTolerance bounds what a customer may use in a Window to its quota, a share of
// it and a slack in the quota's unit.
type QuotaTolerance struct {
	Excess float64        `json:"excess"`
	Slack  float64        `json:"slack"`
	Window jsonc.Duration `json:"window"`
}

// Limits returns the tolerance in the terms of quotas.
func (t QuotaTolerance) Limits() quota.Tolerance {
	return quota.Tolerance{Excess: t.Excess, Slack: t.Slack, Window: t.Window.D()}
}

// Load reads and validates a settings file.
func Load(path string) (*Options, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	return Parse(src)
}

// Parse parses and validates settings. Its error is of type jsonc.Faults. It holds
// the syntax error, or else all fields that cannot be decoded, or else all invalid
// values.
func Parse(src []byte) (*Options, error) {
	parsed, err := jsonc.Parse(src)
	if err != nil {
		return nil, err
	}
	var o Options
	faults := parsed.Decode(&o)
	if len(faults) == 0 {
		faults = o.check(parsed)
	}
	if len(faults) > 0 {
		faults.Sort()
		return nil, faults
	}
	return &o, nil
}

func (o *Options) check(parsed *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	fault := func(path, format string, args ...any) {
		faults = append(faults, parsed.Fault(path, format, args...))
	}
	for path, text := range map[string]string{
		"/host": o.Host, "/availabilityZone": o.AvailabilityZone, "/region": o.Region,
	} {
		if text == "" {
			fault(path, "must be given")
		}
	}
	if _, err := netip.ParseAddr(o.Address); err != nil {
		fault("/address", "want an IP address")
	}
	for path, text := range map[string]string{
		"/listen/callers": o.Listen.Callers, "/listen/readiness": o.Listen.Readiness,
		"/listen/directory": o.Listen.Directory, "/log": o.Log,
	} {
		if _, err := netip.ParseAddrPort(text); err != nil {
			fault(path, "want an IP address and port")
		}
	}
	if _, err := netip.ParseAddrPort(o.Cloud); o.Cloud != "" && err != nil {
		fault("/cloud", "want an IP address and port")
	}
	if o.PeerPort <= 0 || o.PeerPort > maxPort {
		fault("/peerPort", "want a port from 1 to %d", maxPort)
	}
	if o.MetricsPort < 0 || o.MetricsPort > maxPort {
		fault("/metricsPort", "want a port from 0 to %d", maxPort)
	}
	for path, d := range map[string]time.Duration{
		"/gracePeriod": o.GracePeriod.D(), "/revokeKeysWithin": o.RevokeKeysWithin.D(),
		"/usageWindow": o.UsageWindow.D(), "/dutyLease": o.DutyLease.D(), "/retryBudget/window": o.RetryBudget.Window.D(),
	} {
		if d <= 0 {
			fault(path, "want a duration above 0")
		}
	}
	return append(faults, o.checkOptional(parsed)...)
}

// checkOptional checks the values that may be left out.
func (o *Options) checkOptional(parsed *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	for path, value := range map[string]float64{
		"/strength": o.Strength, "/quotaTolerance/excess": o.QuotaTolerance.Excess, "/quotaTolerance/slack": o.QuotaTolerance.Slack,
		"/quotaTolerance/window": o.QuotaTolerance.Window.D().Seconds(),
	} {
		if value < 0 {
			faults = append(faults, parsed.Fault(path, "want at least 0"))
		}
	}
	return faults
}
