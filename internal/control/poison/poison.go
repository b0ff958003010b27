// Package poison holds requests that crash the upstreams that run them.
//
// Hosts report the requests that were lost with an upstream to the coordinator
// of the service, which is one of the live hosts: all choose the same one by
// rendezvous hashing. Only the coordinator holds requests. One host's own losses can
// mislead: when all upstreams restart, a request that is retried may be lost twice. The coordinator adds up the
// weights of a request's losses and holds the request of a crash with the highest
// sum: from holdWeight if no other request of the crash has the same sum, from
// tieWeight in any case. A complete response clears a request. A loss does not
// count as a crash if the upstream completes an attempt that began before the
// loss, is leaving or has a reclaim notice, or if another upstream crashes at the
// same time with other requests.
//
// Prompts of which no two are alike may crash upstreams by what they share. The beginning
// of a prompt, which others may share, is reported beside its request, and held after
// roundsToHold rounds of crashes.
package poison

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/prefix"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const (
	// holdDuration is how long a request is held.
	holdDuration = 5 * time.Minute
	// crashWindow is the time within which losses at one upstream belong to
	// one crash.
	crashWindow = 2 * time.Second
	// evaluationDelay is the time from the first loss of a crash to its
	// evaluation, so that the losses of all hosts have arrived.
	evaluationDelay = 600 * time.Millisecond
	// lossRetention is how long a crash, its losses and what this host reported
	// are kept.
	lossRetention = 10 * time.Minute
	// lostWeight is the weight of a loss before the first token of an attempt,
	// interruptedWeight that of one after it: a request that has already run
	// for a while is less likely to be the cause.
	lostWeight        = 2
	interruptedWeight = 1
	// holdWeight is the least total weight at which a request is held if no
	// other request of the last crash has the same or more; tieWeight is the
	// least at which it is held although others have the same.
	holdWeight = 3
	tieWeight  = 7
	// correlationWindow is the time within which crashes of several upstreams
	// are considered one event.
	correlationWindow = time.Second
	// handOver is how long before and after a change of members hosts may report
	// to different coordinators.
	handOver = 3 * time.Second
)

// Hold is the log record of a held request. Holds are short, so their stream
// needs no checkpoints.
type Hold struct {
	Fingerprint uint64    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// crash is one crash of an upstream.
type crash struct {
	service, upstream string
	first, last       time.Time
	// lost holds the weight of the loss of each request, by fingerprint, and beginnings
	// those of prompts that were lost before their first token.
	lost       map[uint64]int
	beginnings map[uint64]bool
	evaluated  bool
}

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of held requests.
type Machine struct {
	self    control.Self
	members []string
	// former holds the members before the last change, which was at changedAt.
	former    []string
	changedAt time.Time
	// leaving and notices hold the IDs of the upstreams that are listed as
	// leaving and of the hosts with a reclaim notice.
	leaving map[string]bool
	notices map[string]bool
	// reported holds the fingerprints that this host reported as lost, with the
	// time of the report; lastLoss holds the time of the last loss that it
	// reported of each upstream.
	reported map[uint64]time.Time
	lastLoss map[string]time.Time
	crashes  []*crash
	holds    map[uint64]time.Time
	// publishedHolds is the copy of holds that snapshots share until the next
	// change; nil after a change.
	publishedHolds map[uint64]time.Time
}

var (
	_ control.Machine      = (*Machine)(nil)
	_ control.StreamFolder = (*Machine)(nil)
	_ kernel.Provisioner   = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.poison", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.members = []string{self.ID}
	m.lastLoss = map[string]time.Time{}
	m.leaving = map[string]bool{}
	m.notices = map[string]bool{}
	m.reported = map[uint64]time.Time{}
	m.holds = map[uint64]time.Time{}
}

// Streams implements control.StreamFolder.
func (*Machine) Streams() []string { return []string{logsvc.StreamHolds} }

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.AttemptEnded:
		return m.attemptEnded(now, in)
	case control.MessageReceived:
		return m.handleMessage(now, in.Message)
	case control.HostsListed:
		m.setLeaving(in.List.Hosts)
	case control.NoticesListed:
		clear(m.notices)
		for _, notice := range in.Notices {
			m.notices[notice.HostID] = true
		}
	case control.MembersChanged:
		m.setMembers(now, in.Hosts)
	case control.Record:
		if in.Stream == logsvc.StreamHolds {
			m.applyRecord(in.Record)
		}
	case control.Tick:
		m.expire(now)
		return m.evaluateDue(now)
	}
	return nil
}

func (m *Machine) setMembers(now time.Time, hosts []control.EntryHost) {
	var members []string
	for _, host := range hosts {
		if !host.Leaving {
			members = append(members, host.ID)
		}
	}
	if slices.Equal(members, m.members) {
		return
	}
	if now.Sub(m.changedAt) > handOver {
		m.former = m.members
	}
	m.members, m.changedAt = members, now
}

func coordinatorOf(service string, members []string) string {
	return rendezvous.First("poison/"+service, members)
}

// hasAllEvidence reports whether the losses of all hosts around a crash were
// reported to this host: it is the coordinator and was so before the last change
// of members, unless that was long before the crash.
func (m *Machine) hasAllEvidence(c *crash) bool {
	if coordinatorOf(c.service, m.members) != m.self.ID {
		return false
	}
	return m.changedAt.Before(c.first.Add(-handOver)) || coordinatorOf(c.service, m.former) == m.self.ID
}

func (m *Machine) setLeaving(hosts []hostlist.Host) {
	clear(m.leaving)
	for _, host := range hosts {
		if host.Role == hostlist.RoleUpstream && host.Leaving {
			m.leaving[host.ID] = true
		}
	}
}

// attemptEnded reports a lost attempt, or a complete response that withdraws a
// loss reported before, to the coordinator of the service.
func (m *Machine) attemptEnded(now time.Time, in control.AttemptEnded) []control.Output {
	suspects := &peerv1.Suspects{Service: in.Service, Upstream: in.Upstream}
	switch {
	case in.Failure == nil:
		m.withdrawLosses(suspects, in)
	case in.Failure.Kind == upstream.Lost:
		m.reported[in.Fingerprint] = now
		m.lastLoss[in.Upstream] = now
		if in.Tokens == 0 {
			suspects.Lost = []uint64{in.Fingerprint}
			if in.Beginning != 0 {
				m.reported[in.Beginning] = now
				suspects.Lost = append(suspects.Lost, in.Beginning)
			}
		} else {
			suspects.Interrupted = []uint64{in.Fingerprint}
		}
	}
	if !suspects.Alive && len(suspects.Answered)+len(suspects.Lost)+len(suspects.Interrupted) == 0 {
		return nil
	}
	m.applySuspects(now, suspects)
	coordinator := coordinatorOf(in.Service, m.members)
	if coordinator == m.self.ID || coordinator == "" {
		return nil
	}
	message := &peerv1.Message{Body: &peerv1.Message_Suspects{Suspects: suspects}}
	return []control.Output{control.SendMessage{To: coordinator, Message: message}}
}

// withdrawLosses sets in suspects which reported losses a complete response
// withdraws: those of the same request and, if the attempt began before the
// last loss at its upstream, the crash of that upstream.
func (m *Machine) withdrawLosses(suspects *peerv1.Suspects, in control.AttemptEnded) {
	if _, reported := m.reported[in.Fingerprint]; reported {
		delete(m.reported, in.Fingerprint)
		suspects.Answered = []uint64{in.Fingerprint}
	}
	// The coordinator also gets the reports of other hosts.
	if _, reported := m.reported[in.Beginning]; reported || in.Beginning != 0 && m.beginningInCrash(in.Beginning) {
		delete(m.reported, in.Beginning)
		suspects.Answered = append(suspects.Answered, in.Beginning)
	}
	if lost, known := m.lastLoss[in.Upstream]; known && in.Started.Before(lost) {
		delete(m.lastLoss, in.Upstream)
		suspects.Alive = true
	}
}

func (m *Machine) handleMessage(now time.Time, message *peerv1.Message) []control.Output {
	switch body := message.GetBody().(type) {
	case *peerv1.Message_Suspects:
		m.applySuspects(now, body.Suspects)
	case *peerv1.Message_Hold:
		m.addHold(body.Hold.GetFingerprint(), time.UnixMilli(body.Hold.GetUntilUnixMs()))
	}
	return nil
}

// applySuspects adds reported losses to the crashes and removes withdrawn ones.
func (m *Machine) applySuspects(now time.Time, suspects *peerv1.Suspects) {
	for _, fingerprint := range suspects.GetAnswered() {
		for _, c := range m.crashes {
			delete(c.lost, fingerprint)
			delete(c.beginnings, fingerprint)
		}
	}
	id := suspects.GetUpstream()
	if suspects.GetAlive() {
		m.crashes = slices.DeleteFunc(m.crashes, func(c *crash) bool {
			return c.upstream == id && now.Sub(c.last) <= crashWindow
		})
	}
	if len(suspects.GetLost())+len(suspects.GetInterrupted()) == 0 || m.leaving[id] || m.notices[id] {
		return
	}
	c := m.crashFor(now, suspects.GetService(), id)
	for _, fingerprint := range suspects.GetLost() {
		if prefix.IsBeginning(fingerprint) {
			c.beginnings[fingerprint] = true
		} else {
			c.lost[fingerprint] = lostWeight
		}
	}
	for _, fingerprint := range suspects.GetInterrupted() {
		c.lost[fingerprint] = max(c.lost[fingerprint], interruptedWeight)
	}
}

// crashFor returns the crash to which a loss at an upstream belongs, a new one
// if the upstream has had no loss within crashWindow.
func (m *Machine) crashFor(now time.Time, service, id string) *crash {
	for _, c := range m.crashes {
		if c.service == service && c.upstream == id && now.Sub(c.last) <= crashWindow {
			c.last = now
			return c
		}
	}
	c := &crash{service: service, upstream: id, first: now, last: now, lost: map[uint64]int{}, beginnings: map[uint64]bool{}}
	m.crashes = append(m.crashes, c)
	return c
}

// evaluateDue evaluates the crashes whose evaluationDelay has passed. Correlated
// crashes lose their weights instead. Where reports of other hosts may be missing,
// the crash holds no request now; its weights count in later crashes.
func (m *Machine) evaluateDue(now time.Time) []control.Output {
	var outs []control.Output
	for _, c := range m.crashes {
		if c.evaluated || now.Sub(c.first) < evaluationDelay {
			continue
		}
		c.evaluated = true
		if m.correlated(c) {
			clear(c.lost)
		}
		if !m.hasAllEvidence(c) {
			continue
		}
		outs = append(outs, m.evaluate(now, c)...)
		for _, beginning := range m.evaluateBeginnings(c) {
			if m.holds[beginning].Before(now) {
				outs = append(outs, m.publishHold(now, beginning)...)
			}
		}
	}
	return outs
}

// correlated reports whether another upstream of the service crashed at the
// same time with other requests. A common cause is then more likely than one
// request.
func (m *Machine) correlated(c *crash) bool {
	for _, other := range m.crashes {
		apart := other.first.Sub(c.first).Abs()
		if other == c || other.service != c.service || other.upstream == c.upstream || apart > correlationWindow {
			continue
		}
		if !shareRequest(c, other) {
			return true
		}
	}
	return false
}

func shareRequest(a, b *crash) bool {
	for fingerprint := range a.lost {
		if _, both := b.lost[fingerprint]; both {
			return true
		}
	}
	return false
}

// evaluate holds the request of a crash whose losses have the highest total
// weight, if that reaches holdWeight and no other request has the same, and any
// request with the highest weight if that reaches tieWeight.
func (m *Machine) evaluate(now time.Time, c *crash) []control.Output {
	weights := map[uint64]int{}
	most, ties := 0, 0
	for fingerprint := range c.lost {
		for _, other := range m.crashes {
			weights[fingerprint] += other.lost[fingerprint]
		}
		switch weight := weights[fingerprint]; {
		case weight > most:
			most, ties = weight, 1
		case weight == most:
			ties++
		}
	}
	var outs []control.Output
	for fingerprint, weight := range weights {
		hold := weight == most && ((weight >= holdWeight && ties == 1) || weight >= tieWeight)
		if hold && m.holds[fingerprint].Before(now) {
			outs = append(outs, m.publishHold(now, fingerprint)...)
		}
	}
	return outs
}

// publishHold holds a request on all hosts. It sends the hold to the members and
// appends it to the log for hosts that start later.
func (m *Machine) publishHold(now time.Time, fingerprint uint64) []control.Output {
	until := now.Add(holdDuration)
	m.addHold(fingerprint, until)
	hold := &peerv1.Hold{Fingerprint: fingerprint, UntilUnixMs: until.UnixMilli()}
	message := &peerv1.Message{Body: &peerv1.Message_Hold{Hold: hold}}
	var outs []control.Output
	for _, id := range m.members {
		if id != m.self.ID {
			outs = append(outs, control.SendMessage{To: id, Message: message})
		}
	}
	data, err := json.Marshal(Hold{Fingerprint: fingerprint, Until: until})
	if err != nil {
		return outs
	}
	id := fmt.Sprintf("hold/%s/%x/%d", m.self.Incarnation, fingerprint, until.UnixMilli())
	return append(outs, control.Append{Stream: logsvc.StreamHolds, ID: id, Data: data})
}

func (m *Machine) addHold(fingerprint uint64, until time.Time) {
	if until.After(m.holds[fingerprint]) {
		m.holds[fingerprint] = until
		m.publishedHolds = nil
	}
}

// applyRecord applies a hold read from the log.
func (m *Machine) applyRecord(rec logsvc.Record) {
	var hold Hold
	if json.Unmarshal(rec.Data, &hold) == nil {
		m.addHold(hold.Fingerprint, hold.Until)
	}
}

// expire removes losses older than lossRetention and holds that have ended.
func (m *Machine) expire(now time.Time) {
	m.crashes = slices.DeleteFunc(m.crashes, func(c *crash) bool { return now.Sub(c.last) >= lossRetention })
	maps.DeleteFunc(m.reported, func(_ uint64, at time.Time) bool { return now.Sub(at) >= lossRetention })
	maps.DeleteFunc(m.lastLoss, func(_ string, at time.Time) bool { return now.Sub(at) >= lossRetention })
	held := len(m.holds)
	maps.DeleteFunc(m.holds, func(_ uint64, until time.Time) bool { return now.After(until) })
	if len(m.holds) != held {
		m.publishedHolds = nil
	}
}

// Publish implements control.Machine.
func (m *Machine) Publish(_ time.Time, next *control.Snapshot) {
	if m.publishedHolds == nil {
		m.publishedHolds = maps.Clone(m.holds)
	}
	next.Holds = m.publishedHolds
}
