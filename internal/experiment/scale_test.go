package experiment

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/upstreams"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// size is the size of a deployment, divided equally among its regions.
type size struct {
	name             string
	hosts, upstreams int
	regions, zones   int
}

var sizes = []size{
	{"9-hosts-13-upstreams", 9, 13, 1, 4},
	{"710-hosts-1900-upstreams", 710, 1900, 5, 12},
}

// settleTicks is the number of ticks after which credits are stable at any size.
const settleTicks = 200

// deployment holds the control state machines of one region and their inputs.
type deployment struct {
	doc      *document.Document
	listed   []hostlist.Host
	machines map[string]*upstreams.Machine
	ids      []string
	now      time.Time
	// messages and bytes count what the first host sent and received, polls
	// the load reports that it requested.
	messages, bytes, polls int
}

func newDeployment(s size) *deployment {
	d := &deployment{doc: &document.Document{}, machines: map[string]*upstreams.Machine{}, now: time.Unix(1_000_000, 0)}
	d.doc.Services = []document.Service{{
		Name: service, Kind: document.KindEngine,
		Routes:   []document.Route{{Name: "menu", Idempotent: true, Class: document.ClassInteractive}},
		Versions: []document.Version{{Name: "v1", Goal: 1}},
		Upstream: document.Traits{MaxInFlight: 64, ColdInFlight: 8},
	}}
	for i := range s.zones {
		d.doc.AvailabilityZones = append(d.doc.AvailabilityZones, document.AvailabilityZone{
			Name: fmt.Sprint("zone-", i), Region: fmt.Sprint("region-", i%s.regions), State: document.ZoneServing,
		})
	}
	for i := range s.upstreams {
		id := fmt.Sprint("advice-", i)
		d.listed = append(d.listed, hostlist.Host{
			ID: id, Role: hostlist.RoleUpstream, Address: id, Zone: fmt.Sprint("zone-", i%s.zones), Service: service, Version: "v1",
		})
	}
	var live []control.EntryHost
	for i := range s.hosts {
		id, zone := fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%s.zones)
		d.listed = append(d.listed, hostlist.Host{ID: id, Role: hostlist.RoleEntry, Address: id, Zone: zone})
		if d.doc.Zone(zone).Region != "region-0" {
			continue
		}
		live = append(live, control.EntryHost{ID: id, Zone: zone, Region: "region-0"})
		m := &upstreams.Machine{}
		m.Init(control.Self{ID: id, Zone: zone, Region: "region-0"})
		d.machines[id] = m
		d.ids = append(d.ids, id)
	}
	for _, id := range d.ids {
		m := d.machines[id]
		m.Step(d.now, control.Configured{Document: d.doc})
		m.Step(d.now, control.HostsListed{List: hostlist.List{Hosts: d.listed}})
		m.Step(d.now, control.MembersChanged{Hosts: live})
	}
	return d
}

// tick ticks all machines and delivers their messages.
func (d *deployment) tick() {
	d.now = d.now.Add(control.TickInterval)
	for _, id := range d.ids {
		d.perform(id, d.machines[id].Step(d.now, control.Tick{}))
	}
}

func (d *deployment) perform(from string, outs []control.Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case control.SendMessage:
			if from == d.ids[0] || out.To == d.ids[0] {
				d.messages++
				d.bytes += proto.Size(out.Message)
			}
			d.perform(out.To, d.machines[out.To].Step(d.now, control.MessageReceived{From: from, Message: out.Message}))
		case control.PollUpstream:
			if from == d.ids[0] {
				d.polls++
			}
			d.perform(from, d.machines[from].Step(d.now, control.LoadReported{
				Upstream: out.Upstream, Load: engine.Load{AsOf: d.now, Running: 8, Slots: 64},
			}))
		}
	}
}

// BenchmarkControl measures a tick of one host and the publication of its upstream
// state, after ticks of all hosts of its region with every message delivered.
func BenchmarkControl(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			before := heapSize()
			d := newDeployment(s)
			for range settleTicks {
				d.tick()
			}
			perHost := (heapSize() - before) / float64(len(d.ids))
			d.messages, d.bytes, d.polls = 0, 0, 0
			const ticks = 100
			for range ticks {
				d.tick()
			}
			seconds := (ticks * control.TickInterval).Seconds()
			m := d.machines[d.ids[0]]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				d.now = d.now.Add(control.TickInterval)
				m.Step(d.now, control.Tick{})
				var next control.Snapshot
				m.Publish(d.now, &next)
			}
			b.ReportMetric(float64(d.messages)/seconds, "msg/s")
			b.ReportMetric(float64(d.bytes)/seconds, "msg-B/s")
			b.ReportMetric(float64(d.polls)/seconds, "polls/s")
			b.ReportMetric(perHost/1024, "KB/node")
		})
	}
}

func heapSize() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkRelist applies changed host lists on one host.
func BenchmarkRelist(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			d := newDeployment(s)
			m := d.machines[d.ids[0]]
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				m.Step(d.now, control.HostsListed{List: hostlist.List{Hosts: d.listed[i%2:]}})
			}
		})
	}
}

// BenchmarkDecision routes and releases one request.
func BenchmarkDecision(b *testing.B) {
	for _, s := range sizes {
		for _, policy := range []Policy{RoundRobin, LeastLoad, Core} {
			b.Run(s.name+"/"+string(policy), func(b *testing.B) {
				d := newDeployment(s)
				for range settleTicks {
					d.tick()
				}
				next := &control.Snapshot{Document: d.doc, Shares: map[control.RouteKey][]control.VersionShare{
					{Service: service, Route: "menu"}: {{Version: "v1", Share: 1}},
				}}
				d.machines[d.ids[0]].Publish(d.now, next)
				var r router = newFIFO(policy, 1)
				if policy == Core {
					r = route.NewCore(1)
				}
				r.Update(d.now, next)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					q := route.Query{
						Service: service, Route: "menu", Customer: "c", Class: document.ClassInteractive,
						Cost: 120, Deadline: d.now.Add(time.Second), Prefix: uint64(i%1000 + 1),
					}
					a := r.Arrive(d.now, uint64(i), q)[0]
					r.Release(d.now, route.Ended{
						Service: service, Upstream: a.Upstream.ID, Customer: "c", Class: q.Class, Cost: 120, Started: d.now,
					})
				}
				b.ReportMetric(float64(len(next.Upstreams[service])), "upstreams")
			})
		}
	}
}
