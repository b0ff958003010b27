// Package poison holds back requests that crash the upstreams that run them.
//
// Hosts report the requests that were lost with an upstream to the coordinator
// of the service, a live host chosen by rendezvous hashing. It holds a request
// back when it was lost in two crashes and no other request of the second crash
// was lost as often. An answer clears a request. A loss is no crash where the
// upstream goes on with others, is leaving or has a reclaim notice.
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
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const (
	// holdTime is how long a request is held back.
	holdTime = 5 * time.Minute
	// crashWindow is the time within which losses at one upstream belong to
	// one crash.
	crashWindow = 2 * time.Second
	// settleTime is how long after its first loss a crash is evaluated, so that
	// the losses of all hosts are in.
	settleTime = 600 * time.Millisecond
	// memory is how long a loss counts.
	memory = 10 * time.Minute
	// lostWeight is the weight of a loss before the first token of an attempt,
	// interruptedWeight that of one after it: a request that runs for a while
	// is less likely to be the cause.
	lostWeight        = 2
	interruptedWeight = 1
	// holdWeight is the weight from which a request is held back that no other
	// request of the last crash equals; tieWeight is the one from which it is
	// held back in any case.
	holdWeight = 3
	tieWeight  = 7
	// correlationWindow is the time within which crashes of several upstreams
	// are taken for one event.
	correlationWindow = time.Second
)

// Hold is the log entry of a request that is held back. Holds are short, so
// that their stream needs no checkpoints.
type Hold struct {
	Fingerprint uint64    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// crash is one crash of an upstream.
type crash struct {
	service, upstream string
	first, last       time.Time
	// lost holds the weight of the loss of each request.
	lost      map[uint64]int
	evaluated bool
}

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of requests that are held back.
type Machine struct {
	self    control.Self
	members []string
	// leaving and notices mark the upstreams whose end was announced.
	leaving map[string]bool
	notices map[string]bool
	// reported holds the fingerprints that this host reported as lost, and
	// losses the time of the last loss that it reported of each upstream.
	reported map[uint64]time.Time
	losses   map[string]time.Time
	crashes  []*crash
	holds    map[uint64]time.Time
	// published is what snapshots share until the next change.
	published map[uint64]time.Time
}

var (
	_ control.Machine      = (*Machine)(nil)
	_ control.StreamReader = (*Machine)(nil)
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
	m.losses = map[string]time.Time{}
	m.leaving = map[string]bool{}
	m.notices = map[string]bool{}
	m.reported = map[uint64]time.Time{}
	m.holds = map[uint64]time.Time{}
}

// Streams implements control.StreamReader.
func (*Machine) Streams() []string { return []string{logsvc.StreamHolds} }

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.AttemptEnded:
		return m.ended(now, in)
	case control.MessageReceived:
		return m.heard(now, in.Message)
	case control.HostsListed:
		m.list(in.List.Hosts)
	case control.NoticesListed:
		clear(m.notices)
		for _, notice := range in.Notices {
			m.notices[notice.HostID] = true
		}
	case control.MembersChanged:
		m.setMembers(in.Hosts)
	case control.Record:
		if in.Stream == logsvc.StreamHolds {
			m.record(in.Record)
		}
	case control.Tick:
		m.forget(now)
		return m.evaluateDue(now)
	}
	return nil
}

func (m *Machine) setMembers(hosts []control.EntryHost) {
	m.members = m.members[:0]
	for _, host := range hosts {
		if !host.Leaving {
			m.members = append(m.members, host.ID)
		}
	}
}

func (m *Machine) list(hosts []hostlist.Host) {
	clear(m.leaving)
	for _, host := range hosts {
		if host.Role == hostlist.RoleUpstream && host.Leaving {
			m.leaving[host.ID] = true
		}
	}
}

// ended reports a lost attempt, and the answers that refute a loss which was
// reported before.
func (m *Machine) ended(now time.Time, in control.AttemptEnded) []control.Output {
	suspects := &peerv1.Suspects{Service: in.Service, Upstream: in.Upstream}
	switch {
	case in.Failure == nil:
		m.refute(suspects, in)
	case in.Failure.Kind == upstream.Lost:
		m.reported[in.Fingerprint] = now
		m.losses[in.Upstream] = now
		if in.Tokens == 0 {
			suspects.Lost = []uint64{in.Fingerprint}
		} else {
			suspects.Interrupted = []uint64{in.Fingerprint}
		}
	}
	if !suspects.Alive && len(suspects.Answered)+len(suspects.Lost)+len(suspects.Interrupted) == 0 {
		return nil
	}
	m.take(now, suspects)
	coordinator := rendezvous.First("poison/"+in.Service, m.members)
	if coordinator == m.self.ID || coordinator == "" {
		return nil
	}
	message := &peerv1.Message{Body: &peerv1.Message_Suspects{Suspects: suspects}}
	return []control.Output{control.SendMessage{To: coordinator, Message: message}}
}

// refute notes which losses the answer to a request refutes.
func (m *Machine) refute(suspects *peerv1.Suspects, in control.AttemptEnded) {
	if _, reported := m.reported[in.Fingerprint]; reported {
		delete(m.reported, in.Fingerprint)
		suspects.Answered = []uint64{in.Fingerprint}
	}
	if lost, known := m.losses[in.Upstream]; known && in.Started.Before(lost) {
		delete(m.losses, in.Upstream)
		suspects.Alive = true
	}
}

func (m *Machine) heard(now time.Time, message *peerv1.Message) []control.Output {
	switch body := message.GetBody().(type) {
	case *peerv1.Message_Suspects:
		m.take(now, body.Suspects)
	case *peerv1.Message_Hold:
		m.hold(body.Hold.GetFingerprint(), time.UnixMilli(body.Hold.GetUntilUnixMs()))
	}
	return nil
}

// take counts losses and answers.
func (m *Machine) take(now time.Time, suspects *peerv1.Suspects) {
	for _, fingerprint := range suspects.GetAnswered() {
		for _, c := range m.crashes {
			delete(c.lost, fingerprint)
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
	c := m.crashOf(now, suspects.GetService(), id)
	for _, fingerprint := range suspects.GetLost() {
		c.lost[fingerprint] = lostWeight
	}
	for _, fingerprint := range suspects.GetInterrupted() {
		c.lost[fingerprint] = max(c.lost[fingerprint], interruptedWeight)
	}
}

// crashOf returns the crash to which a loss at an upstream belongs.
func (m *Machine) crashOf(now time.Time, service, id string) *crash {
	for _, c := range m.crashes {
		if c.service == service && c.upstream == id && now.Sub(c.last) <= crashWindow {
			c.last = now
			return c
		}
	}
	c := &crash{service: service, upstream: id, first: now, last: now, lost: map[uint64]int{}}
	m.crashes = append(m.crashes, c)
	return c
}

// evaluateDue evaluates the crashes whose losses are in.
func (m *Machine) evaluateDue(now time.Time) []control.Output {
	var outs []control.Output
	for _, c := range m.crashes {
		if c.evaluated || now.Sub(c.first) < settleTime {
			continue
		}
		c.evaluated = true
		if m.correlated(c) {
			clear(c.lost)
			continue
		}
		outs = append(outs, m.evaluate(now, c)...)
	}
	return outs
}

// correlated reports whether another upstream of the service crashed at the
// same time with other requests. Then a common cause is likelier than a request.
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

// evaluate holds back the request of a crash whose losses weigh most, if it is
// one alone or they weigh very much.
func (m *Machine) evaluate(now time.Time, c *crash) []control.Output {
	weights := map[uint64]int{}
	most, equals := 0, 0
	for fingerprint := range c.lost {
		for _, other := range m.crashes {
			weights[fingerprint] += other.lost[fingerprint]
		}
		switch weight := weights[fingerprint]; {
		case weight > most:
			most, equals = weight, 1
		case weight == most:
			equals++
		}
	}
	var outs []control.Output
	for fingerprint, weight := range weights {
		hold := weight == most && ((weight >= holdWeight && equals == 1) || weight >= tieWeight)
		if hold && m.holds[fingerprint].Before(now) {
			outs = append(outs, m.announce(now, fingerprint)...)
		}
	}
	return outs
}

// announce holds a request back on all hosts.
func (m *Machine) announce(now time.Time, fingerprint uint64) []control.Output {
	until := now.Add(holdTime)
	m.hold(fingerprint, until)
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

func (m *Machine) hold(fingerprint uint64, until time.Time) {
	if until.After(m.holds[fingerprint]) {
		m.holds[fingerprint] = until
		m.published = nil
	}
}

// record takes a hold from the log.
func (m *Machine) record(rec logsvc.Record) {
	var hold Hold
	if json.Unmarshal(rec.Data, &hold) == nil {
		m.hold(hold.Fingerprint, hold.Until)
	}
}

// forget drops what is too old to count.
func (m *Machine) forget(now time.Time) {
	m.crashes = slices.DeleteFunc(m.crashes, func(c *crash) bool { return now.Sub(c.last) >= memory })
	maps.DeleteFunc(m.reported, func(_ uint64, at time.Time) bool { return now.Sub(at) >= memory })
	maps.DeleteFunc(m.losses, func(_ string, at time.Time) bool { return now.Sub(at) >= memory })
	held := len(m.holds)
	maps.DeleteFunc(m.holds, func(_ uint64, until time.Time) bool { return now.After(until) })
	if len(m.holds) != held {
		m.published = nil
	}
}

// Publish implements control.Machine.
func (m *Machine) Publish(_ time.Time, next *control.Snapshot) {
	if m.published == nil {
		m.published = maps.Clone(m.holds)
	}
	next.Holds = m.published
}
