// Package rollout moves traffic to new versions in steps, as long as they do no
// worse than the old ones.
//
// Each host counts its attempts by route and version and reports the counts to
// one aggregator per rollout, chosen by rendezvous hashing among the live hosts;
// in large deployments only some hosts report. The aggregator tests the new
// version against the old one on all reported attempts, each host on its own.
// Decisions are entries of one stream of the log; their order decides between
// concurrent ones. A host that finds a regression rolls the version back on itself
// at once and notifies its peers. Shares are raised only by entries of the log.
package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/checkpoint"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of rollouts.
type Machine struct {
	self     control.Self
	document *document.Document
	offset   int64
	fold     *logfold.Fold[State]
	logUp    bool
	members  []control.EntryHost
	// available counts the upstreams of each version that may get new requests.
	available  map[Ref]int
	leaving    map[string]bool
	reclaiming map[string]bool
	hosts      []hostlist.Host
	loads      map[string]float64
	rollouts   map[Ref]*rollout

	stateRequest stateRequest
	checkpoints  checkpoint.Writer
	// published is nil when it has to be recomputed.
	published *published
}

// rollout is the local state of one rollout, besides the state from the log.
type rollout struct {
	ref    Ref
	target Target
	// configOffset is the log offset of the configuration in which this host
	// found the target.
	configOffset int64
	// local is the evidence of this host's attempts, global that of the attempts
	// of all reporting hosts, which only the aggregator receives.
	local, global *evidence
	tally         tally
	// aggregator is the ID of the host that gathers the global evidence.
	aggregator string
	// sendsSummaries is set when this host reports its counts.
	sendsSummaries bool
	// rollbackReason is why this host has rolled the version back; empty if it has
	// not.
	rollbackReason string
	rolledBackAt   time.Time
	// proposedAt is when this host last sent a proposal.
	proposedAt time.Time
	// lastSequence holds the sequence number of the last summary by sender and
	// incarnation.
	lastSequence map[string]uint64
}

var (
	_ control.Machine      = (*Machine)(nil)
	_ control.StreamFolder = (*Machine)(nil)
	_ kernel.Provisioner   = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.rollout", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init sets the machine up for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.checkpoints = checkpoint.NewWriter(self, logsvc.StreamRollout)
	m.fold = logfold.New(Apply)
	m.available = map[Ref]int{}
	m.rollouts = map[Ref]*rollout{}
	m.loads = map[string]float64{}
}

// Streams implements control.StreamFolder.
func (*Machine) Streams() []string { return []string{logsvc.StreamRollout} }

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	if changesShares(in) {
		m.published = nil
	}
	switch in := in.(type) {
	case control.Configured:
		m.configured(now, in)
		return m.emitRollouts()
	case control.MembersChanged:
		m.members = in.Hosts
		m.checkpoints.SetMembers(in.Hosts)
		for _, ro := range m.rollouts {
			m.assign(ro)
		}
	case control.HostsListed:
		m.hostsListed(in.List)
	case control.NoticesListed:
		m.reclaiming = map[string]bool{}
		for _, notice := range in.Notices {
			m.reclaiming[notice.HostID] = true
		}
	case control.LoadReported:
		if in.Err == nil && in.Load.Slots > 0 {
			m.loads[in.Upstream] = float64(in.Load.Running+in.Load.Queued) / float64(in.Load.Slots)
		}
	case control.LogHealth:
		m.logUp = in.Up
	case control.Record:
		if in.Stream == logsvc.StreamRollout {
			m.fold.ApplyRecord(in.Record)
			return m.emitRollouts()
		}
	case control.Truncated:
		if in.Stream == logsvc.StreamRollout {
			m.fold.Truncate(in.Oldest)
		}
	case control.AttemptEnded:
		m.attemptEnded(now, in)
	case control.MessageReceived:
		return m.receive(now, in)
	case control.Tick:
		return m.tick(now)
	}
	return nil
}

// changesShares reports whether an input may change what is published. The
// frequent inputs do not; the next Tick recomputes it at the latest.
func changesShares(in control.Input) bool {
	switch in := in.(type) {
	case control.AttemptEnded, control.Demand, control.LoadReported, control.CacheChanged:
		return false
	case control.MessageReceived:
		return in.Message.GetRetreat() != nil || in.Message.GetRolloutState() != nil
	}
	return true
}

// configured replaces the rollouts by those of a document. A rollout whose
// target did not change keeps its evidence.
func (m *Machine) configured(now time.Time, in control.Configured) {
	m.document = in.Document
	m.offset = in.Offset
	rollouts := map[Ref]*rollout{}
	for i := range in.Document.Services {
		service := &in.Document.Services[i]
		for j := range service.Versions {
			version := &service.Versions[j]
			target, found := targetOf(version)
			if !found {
				continue
			}
			ref := Ref{Service: service.Name, Version: version.Name}
			if known := m.rollouts[ref]; known != nil && known.target.Same(target) {
				rollouts[ref] = known
				continue
			}
			ro := &rollout{
				ref: ref, target: target, configOffset: in.Offset,
				local: newEvidence(target, now), global: newEvidence(target, now),
				lastSequence: map[string]uint64{},
			}
			m.assign(ro)
			rollouts[ref] = ro
		}
	}
	m.rollouts = rollouts
	m.countAvailable()
}

func (m *Machine) hostsListed(list hostlist.List) {
	m.hosts = list.Hosts
	m.leaving = map[string]bool{}
	for _, host := range list.Hosts {
		if host.Leaving {
			m.leaving[host.ID] = true
		}
	}
	m.countAvailable()
}

func (m *Machine) countAvailable() {
	m.available = map[Ref]int{}
	if m.document == nil {
		return
	}
	for _, host := range m.hosts {
		if host.Role == hostlist.RoleUpstream && !host.Leaving && control.ServingZone(m.document, host.Zone) {
			m.available[Ref{Service: host.Service, Version: host.Version}]++
		}
	}
}

// status returns the status of a rollout. Until the state of the log is known,
// the rollout counts as in progress before its first step, without a start share.
func (m *Machine) status(ro *rollout) Status {
	if !m.fold.Complete() {
		return Status{Target: ro.target, ConfigOffset: ro.configOffset, Phase: control.RolloutInProgress}
	}
	return m.fold.State().Status(ro.ref, ro.target, ro.configOffset)
}

// assign chooses the aggregator of a rollout and the hosts that send it
// summaries: the first of the live hosts in an order that differs from rollout to
// rollout.
func (m *Machine) assign(ro *rollout) {
	candidates := []string{m.self.ID}
	for _, host := range m.members {
		if !host.Leaving && host.ID != m.self.ID {
			candidates = append(candidates, host.ID)
		}
	}
	order := rendezvous.Order(ro.ref.Service+"/"+ro.ref.Version, candidates)
	ro.aggregator = order[0]
	ro.sendsSummaries = slices.Contains(order[:min(maxReporters, len(order))], m.self.ID)
}

// emitRollouts passes the progress of all rollouts to the other machines.
func (m *Machine) emitRollouts() []control.Output {
	changed := control.RolloutsChanged{}
	for _, ref := range m.refs() {
		changed.Rollouts = append(changed.Rollouts, rolloutOf(m.rollouts[ref], m.status(m.rollouts[ref])))
	}
	return []control.Output{control.Emit{Input: changed}}
}

// published is this machine's part of a snapshot.
type published struct {
	shares   map[control.RouteKey][]control.VersionShare
	rollouts []control.Rollout
}

// Publish implements control.Machine. The shares are recomputed after an input
// that may change them, at least at each Tick.
func (m *Machine) Publish(now time.Time, next *control.Snapshot) {
	if m.document == nil {
		return
	}
	if m.published == nil {
		m.published = m.compute(now)
	}
	maps.Copy(next.Shares, m.published.shares)
	next.Rollouts = m.published.rollouts
}

func (m *Machine) compute(now time.Time) *published {
	p := &published{shares: map[control.RouteKey][]control.VersionShare{}}
	for i := range m.document.Services {
		service := &m.document.Services[i]
		result := shares(now, m.versionStates(service, p))
		for _, route := range service.Routes {
			p.shares[control.RouteKey{Service: service.Name, Route: route.Name}] = result
		}
	}
	return p
}

// versionStates returns the state of each version of a service and adds the
// service's rollouts to p.
func (m *Machine) versionStates(service *document.Service, p *published) []versionState {
	versions := make([]versionState, 0, len(service.Versions))
	for _, version := range service.Versions {
		ref := Ref{Service: service.Name, Version: version.Name}
		v := versionState{name: version.Name, goal: version.Goal, available: m.available[ref]}
		if ro := m.rollouts[ref]; ro != nil {
			status := m.status(ro)
			v.status = &status
			v.rolledBack = ro.rollbackReason != "" && status.Phase != control.RolloutDone
			p.rollouts = append(p.rollouts, rolloutOf(ro, status))
		}
		versions = append(versions, v)
	}
	return versions
}

func rolloutOf(ro *rollout, status Status) control.Rollout {
	r := control.Rollout{
		Service: ro.ref.Service, Version: ro.ref.Version, ConfigOffset: status.ConfigOffset,
		Phase: status.Phase, By: ro.target.Deadline, Reason: status.Reason,
		Share: status.share(), Next: status.next(),
	}
	if status.Phase == control.RolloutInProgress && ro.rollbackReason != "" {
		r.Reason = ro.rollbackReason
	}
	return r
}
