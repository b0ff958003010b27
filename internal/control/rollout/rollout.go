// Package rollout moves traffic to new versions as far as they prove sound.
//
// Each host counts its attempts by route and version and tells one aggregator
// per move, chosen by rendezvous hashing among the live hosts. The aggregator
// and, on its own attempts alone, each host test the new version against the
// old one. Decisions are entries of one stream of the log; their order settles
// races. A host that finds a version bad takes it back at once on itself and
// tells its peers; no host ever moves a share up but by the log.
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
	// open counts the upstreams of each version that may get new work.
	open    map[Ref]int
	leaving map[string]bool
	noticed map[string]bool
	listed  []hostlist.Host
	loads   map[string]float64
	moves   map[Ref]*move

	ask         asking
	checkpoints checkpoint.Writer
	// published is nil when it has to be computed anew.
	published *published
}

// move is what this host knows of one move beside the log.
type move struct {
	ref  Ref
	move Move
	// config is the offset of the configuration in which this host found it.
	config int64
	// own is the evidence of this host's attempts, all that of every host; the
	// latter is filled at the aggregator only.
	own, all *evidence
	tally    tally
	// aggregator is the ID of the host that gathers the evidence.
	aggregator string
	// reports tells that this host sends summaries.
	reports bool
	// back is why this host has taken the version back, empty if it has not.
	back      string
	backSince time.Time
	// proposed is when the last proposal was sent.
	proposed time.Time
	// seen holds the sequence of the last summary of each sender.
	seen map[string]uint64
}

var (
	_ control.Machine      = (*Machine)(nil)
	_ control.StreamReader = (*Machine)(nil)
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

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.checkpoints = checkpoint.NewWriter(self, logsvc.StreamRollout)
	m.fold = logfold.New(Apply)
	m.open = map[Ref]int{}
	m.moves = map[Ref]*move{}
	m.loads = map[string]float64{}
}

// Streams implements control.StreamReader.
func (*Machine) Streams() []string { return []string{logsvc.StreamRollout} }

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	if changesShares(in) {
		m.published = nil
	}
	switch in := in.(type) {
	case control.Configured:
		m.configured(now, in)
		return m.raise()
	case control.MembersChanged:
		m.members = in.Hosts
		m.checkpoints.Members(in.Hosts)
		for _, mv := range m.moves {
			m.assign(mv)
		}
	case control.HostsListed:
		m.hostsListed(in.List)
	case control.NoticesListed:
		m.noticed = map[string]bool{}
		for _, notice := range in.Notices {
			m.noticed[notice.HostID] = true
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
			return m.raise()
		}
	case control.Truncated:
		if in.Stream == logsvc.StreamRollout {
			m.fold.Truncate(in.Oldest)
		}
	case control.AttemptEnded:
		m.attemptEnded(now, in)
	case control.MessageReceived:
		return m.heard(now, in)
	case control.Tick:
		return m.tick(now)
	}
	return nil
}

// changesShares reports whether an input may change what is published. The
// frequent ones do not; a retreat shows at the next Tick at the latest.
func changesShares(in control.Input) bool {
	switch in := in.(type) {
	case control.AttemptEnded, control.Demand, control.LoadReported, control.CacheChanged:
		return false
	case control.MessageReceived:
		return in.Message.GetRetreat() != nil || in.Message.GetRolloutState() != nil
	}
	return true
}

// configured finds the moves that a document asks for. Evidence of a move that
// did not change is kept.
func (m *Machine) configured(now time.Time, in control.Configured) {
	m.document = in.Document
	m.offset = in.Offset
	moves := map[Ref]*move{}
	for i := range in.Document.Services {
		service := &in.Document.Services[i]
		for j := range service.Versions {
			version := &service.Versions[j]
			wanted, moving := moveOf(version)
			if !moving {
				continue
			}
			ref := Ref{Service: service.Name, Version: version.Name}
			if known := m.moves[ref]; known != nil && known.move.Same(wanted) {
				moves[ref] = known
				continue
			}
			mv := &move{
				ref: ref, move: wanted, config: in.Offset,
				own: newEvidence(wanted, now), all: newEvidence(wanted, now),
				seen: map[string]uint64{},
			}
			m.assign(mv)
			moves[ref] = mv
		}
	}
	m.moves = moves
	m.countOpen()
}

func (m *Machine) hostsListed(list hostlist.List) {
	m.listed = list.Hosts
	m.leaving = map[string]bool{}
	for _, host := range list.Hosts {
		if host.Leaving {
			m.leaving[host.ID] = true
		}
	}
	m.countOpen()
}

func (m *Machine) countOpen() {
	m.open = map[Ref]int{}
	if m.document == nil {
		return
	}
	for _, host := range m.listed {
		if host.Role == hostlist.RoleUpstream && !host.Leaving && control.ServingZone(m.document, host.Zone) {
			m.open[Ref{Service: host.Service, Version: host.Version}]++
		}
	}
}

// status returns the status of a move. A host that does not know the log's
// state believes that nothing is proved.
func (m *Machine) status(mv *move) Status {
	if !m.fold.Complete() {
		return Status{Move: mv.move, Config: mv.config, Phase: control.RolloutInProgress}
	}
	return m.fold.State().Status(mv.ref, mv.move, mv.config)
}

// assign chooses the host that gathers the evidence of a move, and those that
// send it summaries: the first of the live hosts in an order that differs from
// move to move.
func (m *Machine) assign(mv *move) {
	candidates := []string{m.self.ID}
	for _, host := range m.members {
		if !host.Leaving && host.ID != m.self.ID {
			candidates = append(candidates, host.ID)
		}
	}
	order := rendezvous.Order(mv.ref.Service+"/"+mv.ref.Version, candidates)
	mv.aggregator = order[0]
	mv.reports = slices.Contains(order[:min(maxReporters, len(order))], m.self.ID)
}

// raise tells the other machines how far the moves are.
func (m *Machine) raise() []control.Output {
	changed := control.RolloutsChanged{}
	for _, ref := range m.refs() {
		changed.Rollouts = append(changed.Rollouts, rolloutOf(m.moves[ref], m.status(m.moves[ref])))
	}
	return []control.Output{control.Emit{Input: changed}}
}

// published is this machine's part of a snapshot.
type published struct {
	shares   map[control.RouteKey][]control.VersionShare
	rollouts []control.Rollout
}

// Publish implements control.Machine. The parts are computed anew when an
// input came that may change them, at least at each Tick.
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
		result := shares(now, m.views(service, p))
		for _, route := range service.Routes {
			p.shares[control.RouteKey{Service: service.Name, Route: route.Name}] = result
		}
	}
	return p
}

// views gathers what the shares of a service depend on and adds its moves to
// what is published.
func (m *Machine) views(service *document.Service, p *published) []versionView {
	views := make([]versionView, 0, len(service.Versions))
	for _, version := range service.Versions {
		ref := Ref{Service: service.Name, Version: version.Name}
		view := versionView{name: version.Name, goal: version.Goal, open: m.open[ref]}
		if mv := m.moves[ref]; mv != nil {
			status := m.status(mv)
			view.moving = &status
			view.back = mv.back != "" && status.Phase != control.RolloutDone
			p.rollouts = append(p.rollouts, rolloutOf(mv, status))
		}
		views = append(views, view)
	}
	return views
}

func rolloutOf(mv *move, status Status) control.Rollout {
	r := control.Rollout{
		Service: mv.ref.Service, Version: mv.ref.Version, Offset: status.Config,
		Phase: status.Phase, By: mv.move.By, Reason: status.Reason,
		Share: status.share(), Next: status.next(),
	}
	if status.Phase == control.RolloutInProgress && mv.back != "" {
		r.Reason = mv.back
	}
	return r
}
