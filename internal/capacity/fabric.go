package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/settings"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// callOverhead is what a call and its answer have around the message
	// between peers, in bytes.
	callOverhead = 74
	// pollBytes is the size of a load report's call and answer, in bytes.
	pollBytes = 420
	// notModifiedBytes is the size of a read of a list that did not change.
	notModifiedBytes = 260
	// recordOverhead is the size of a record around its data, in bytes.
	recordOverhead = 160
	// readBytes is the size of a read of a stream without new records.
	readBytes = 400
	// residence is how long a request stays at an upstream.
	residence = 2 * time.Second
)

// Counters are what one host did.
type Counters struct {
	// Calls counts calls of peers, Bytes what was sent and received for control.
	Calls, Bytes, Appends int64
	// Busy is the processor time of the control state machines.
	Busy time.Duration
}

type node struct {
	self     control.Self
	machines []control.Machine
	snapshot *control.Snapshot
	streams  map[string]bool
	// fraction holds the part of an attempt that is not due yet.
	fraction float64
	listTag  int
	outbox   map[string][]*peerv1.Message
	counters Counters
}

type delivery struct {
	to *node
	in control.Input
}

// fabric is a set of hosts that exchange messages at each step of a clock.
type fabric struct {
	size    Size
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*node
	order   []*node
	list    hostlist.List
	listTag int
	// listBytes is the size of the list as a reader gets it.
	listBytes int64
	offsets   map[string]int64
	queue     []delivery
	byKind    map[string]int64
}

func newFabric(size Size, seed uint64) (*fabric, error) {
	f := &fabric{
		size: size, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		nodes: map[string]*node{}, offsets: map[string]int64{}, byKind: map[string]int64{},
	}
	f.setList(size.list(f.now))
	for i := range size.Hosts {
		if err := f.start(i, "first"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start adds the host of a number, or replaces it by a new process.
func (f *fabric) start(i int, incarnation string) error {
	zone := i % f.size.Zones
	self := control.Self{
		ID: hostName(i), Incarnation: incarnation, Address: address(i),
		Zone: zoneName(zone), Region: f.size.region(zone),
	}
	ctx := kernel.NewContext(&settings.Settings{Host: self.ID}, self, event.Discard())
	machines, err := kernel.NewMachines(ctx)
	if err != nil {
		return err
	}
	n := &node{self: self, machines: machines, streams: map[string]bool{}, outbox: map[string][]*peerv1.Message{}}
	loop := control.NewLoop(self)
	loop.SetMachines(machines)
	for _, stream := range loop.Streams() {
		n.streams[stream] = true
	}
	f.drive(n, control.LogHealth{Up: true})
	if old := f.nodes[self.ID]; old != nil {
		*old = *n
		return nil
	}
	f.nodes[self.ID] = n
	f.order = append(f.order, n)
	return nil
}

func (f *fabric) setList(list hostlist.List) {
	f.list = list
	f.listTag++
	data, err := json.Marshal(list)
	if err != nil {
		return
	}
	var zipped bytes.Buffer
	w := gzip.NewWriter(&zipped)
	_, _ = w.Write(data)
	_ = w.Close()
	f.listBytes = int64(zipped.Len())
}

// run steps all hosts for a duration of the fabric's clock.
func (f *fabric) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func (f *fabric) step() {
	f.now = f.now.Add(control.TickInterval)
	due := f.queue
	f.queue = nil
	for _, delivery := range due {
		f.drive(delivery.to, delivery.in)
	}
	wait := logsvc.ReadWait(f.size.Hosts)
	for _, n := range f.order {
		n.counters.Bytes += int64(float64(readBytes*len(n.streams)) * control.TickInterval.Seconds() / wait.Seconds())
		f.drive(n, control.Tick{})
		f.attempts(n)
		start := time.Now()
		n.snapshot = control.NewSnapshot(f.now, n.self, n.machines)
		n.counters.Busy += time.Since(start)
		f.flush(n)
	}
}

func (f *fabric) drive(n *node, in control.Input) {
	start := time.Now()
	var outs []control.Output
	control.Drive(f.now, n.machines, in, func(out control.Output) { outs = append(outs, out) })
	n.counters.Busy += time.Since(start)
	for _, out := range outs {
		f.perform(n, out)
	}
}

// perform answers an output at the next step.
func (f *fabric) perform(n *node, out control.Output) {
	switch out := out.(type) {
	case control.SendMessage:
		n.outbox[out.To] = append(n.outbox[out.To], out.Message)
	case control.Append:
		f.append(n, out)
	case control.PollUpstream:
		n.counters.Bytes += pollBytes
		load := engine.Load{AsOf: f.now.Add(-time.Second), Running: maxInFlight / 2, Slots: maxInFlight, Version: "v1"}
		f.queue = append(f.queue, delivery{n, control.LoadReported{Upstream: out.Upstream, Load: load}})
	case control.ReadHosts:
		n.counters.Bytes += notModifiedBytes
		if n.listTag != f.listTag {
			n.counters.Bytes += f.listBytes
			n.listTag = f.listTag
		}
		list := hostlist.List{AsOf: f.now, Hosts: f.list.Hosts}
		f.queue = append(f.queue, delivery{n, control.HostsRead{List: list}})
	case control.ReadNotices:
		n.counters.Bytes += notModifiedBytes
		f.queue = append(f.queue, delivery{n, control.NoticesRead{}})
	}
}

func (f *fabric) append(n *node, out control.Append) {
	offset := f.offsets[out.Stream]
	f.offsets[out.Stream]++
	n.counters.Appends++
	n.counters.Bytes += int64(len(out.Data)) + recordOverhead
	f.publish(out.Stream, logsvc.Record{Offset: offset, Time: f.now, ID: out.ID, Data: out.Data})
	f.queue = append(f.queue, delivery{n, control.Appended{Stream: out.Stream, ID: out.ID, Offset: offset}})
}

// publish gives a record to each host that reads its stream.
func (f *fabric) publish(stream string, rec logsvc.Record) {
	for _, n := range f.order {
		if n.streams[stream] {
			n.counters.Bytes += int64(len(rec.Data)) + recordOverhead
			f.queue = append(f.queue, delivery{n, control.Record{Stream: stream, Record: rec}})
		}
	}
}

// flush sends the messages of a step, one call for each receiver.
func (f *fabric) flush(n *node) {
	for to, messages := range n.outbox {
		delete(n.outbox, to)
		receiver := f.nodes[to]
		req := &peerv1.DeliverRequest{From: n.self.ID, Incarnation: n.self.Incarnation, Messages: messages}
		size := int64(proto.Size(req)) + callOverhead
		n.counters.Calls++
		n.counters.Bytes += size
		if receiver == nil {
			f.queue = append(f.queue, delivery{n, control.DeliverFailed{To: to}})
			continue
		}
		receiver.counters.Bytes += size
		f.queue = append(f.queue, delivery{n, control.Delivered{To: to}})
		for _, message := range messages {
			f.byKind[fmt.Sprintf("%T", message.GetBody())] += int64(proto.Size(message))
			f.queue = append(f.queue, delivery{receiver, control.MessageReceived{From: n.self.ID, Incarnation: n.self.Incarnation, Message: message}})
		}
	}
}

// attempts feeds a host with its share of the requests of one step.
func (f *fabric) attempts(n *node) {
	if n.snapshot == nil || n.snapshot.Document == nil {
		return
	}
	rate := f.size.Requests / float64(f.size.Hosts)
	n.fraction += rate * control.TickInterval.Seconds()
	open := openUpstreams(n.snapshot)
	if len(open) == 0 {
		return
	}
	for ; n.fraction >= 1; n.fraction-- {
		u := open[f.random.IntN(len(open))]
		f.drive(n, control.AttemptEnded{
			Upstream: u.ID, Service: u.Service, Route: "question", Version: u.Version, Customer: "customer-000",
			RequestID: "r", Fingerprint: f.random.Uint64(), Started: f.now.Add(-residence),
			FirstToken: 200 * time.Millisecond, Between: 30 * time.Millisecond, Took: residence, Tokens: 60,
		})
	}
	for _, demand := range demands(open, int(rate*residence.Seconds())) {
		f.drive(n, demand)
	}
}

func openUpstreams(snapshot *control.Snapshot) []*control.Upstream {
	var open []*control.Upstream
	for _, list := range snapshot.Upstreams {
		for _, u := range list {
			if u.Available && u.LimitAt(snapshot.At) > 0 {
				open = append(open, u)
			}
		}
	}
	return open
}

// demands spreads a number of running requests over upstreams.
func demands(open []*control.Upstream, running int) []control.Demand {
	byService := map[string]control.Demand{}
	for i := range running {
		u := open[i%len(open)]
		demand, known := byService[u.Service]
		if !known {
			demand = control.Demand{Service: u.Service, Waiting: map[string]int{}, InFlight: map[string]int{}}
			byService[u.Service] = demand
		}
		demand.InFlight[u.ID]++
	}
	var list []control.Demand
	for _, demand := range byService {
		list = append(list, demand)
	}
	return list
}

// reset forgets what was counted so far.
func (f *fabric) reset() {
	clear(f.byKind)
	for _, n := range f.order {
		n.counters = Counters{}
	}
}

var errNotInForce = errors.New("the configuration is not in force on every host")

// agree reports whether all hosts have the same configuration in force.
func (f *fabric) agree(offset int64) error {
	for _, n := range f.order {
		if n.snapshot.Offset != offset {
			return errNotInForce
		}
	}
	return nil
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
