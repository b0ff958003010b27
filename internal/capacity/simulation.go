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
	// callOverhead is the size of a peer call and its response beyond the
	// message, in bytes.
	callOverhead = 74
	// pollBytes is the size of the request and response of a load report, in bytes.
	pollBytes = 420
	// notModifiedBytes is the size of a read of an unchanged list, in bytes.
	notModifiedBytes = 260
	// recordOverhead is the size of a record beyond its data, in bytes.
	recordOverhead = 160
	// readBytes is the size of a stream read that returns no records, in bytes.
	readBytes = 400
	// timeInFlight is the time that an upstream takes for a request.
	timeInFlight = 2 * time.Second
)

// Counters holds the control costs of one host.
type Counters struct {
	// Calls counts calls to peers, Bytes the bytes sent and received for
	// control, and Appends the records appended to the log.
	Calls, Bytes, Appends int64
	// Busy is the processor time of the control state machines.
	Busy time.Duration
}

type entryHost struct {
	self     control.Self
	machines []control.Machine
	snapshot *control.Snapshot
	streams  map[string]bool
	// pendingFraction accumulates the attempts that are due; its fractional
	// part carries over to the next step.
	pendingFraction float64
	listTag         int
	outbox          map[string][]*peerv1.Message
	counters        Counters
}

type delivery struct {
	to *entryHost
	in control.Input
}

// simulation is a set of hosts that exchange messages at each step of a virtual clock.
type simulation struct {
	size    Size
	now     time.Time
	random  *rand.Rand
	hosts   map[string]*entryHost
	order   []*entryHost
	list    hostlist.List
	listTag int
	// listBytes is the size of the compressed host list, in bytes.
	listBytes int64
	offsets   map[string]int64
	queue     []delivery
	byKind    map[string]int64
}

func newSimulation(size Size, seed uint64) (*simulation, error) {
	sim := &simulation{
		size: size, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		hosts: map[string]*entryHost{}, offsets: map[string]int64{}, byKind: map[string]int64{},
	}
	sim.setList(size.hostList(sim.now))
	for i := range size.Hosts {
		if err := sim.start(i, "first"); err != nil {
			return nil, err
		}
	}
	return sim, nil
}

// start adds host i, or replaces it by a new process.
func (sim *simulation) start(i int, incarnation string) error {
	zone := i % sim.size.Zones
	self := control.Self{
		ID: hostName(i), Incarnation: incarnation, Address: address(i),
		Zone: zoneName(zone), Region: sim.size.region(zone),
	}
	ctx := kernel.NewContext(&settings.Settings{Host: self.ID}, self, event.Discard())
	machines, err := kernel.NewMachines(ctx)
	if err != nil {
		return err
	}
	n := &entryHost{self: self, machines: machines, streams: map[string]bool{}, outbox: map[string][]*peerv1.Message{}}
	loop := control.NewLoop(self)
	loop.SetMachines(machines)
	for _, stream := range loop.Streams() {
		n.streams[stream] = true
	}
	sim.drive(n, control.LogHealth{Up: true})
	if old := sim.hosts[self.ID]; old != nil {
		*old = *n
		return nil
	}
	sim.hosts[self.ID] = n
	sim.order = append(sim.order, n)
	return nil
}

func (sim *simulation) setList(list hostlist.List) {
	sim.list = list
	sim.listTag++
	data, err := json.Marshal(list)
	if err != nil {
		return
	}
	var zipped bytes.Buffer
	w := gzip.NewWriter(&zipped)
	_, _ = w.Write(data)
	_ = w.Close()
	sim.listBytes = int64(zipped.Len())
}

// run steps all hosts for a duration of the fabric's clock.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(control.TickInterval)
	due := sim.queue
	sim.queue = nil
	for _, delivery := range due {
		sim.drive(delivery.to, delivery.in)
	}
	wait := logsvc.ReadWait(sim.size.Hosts)
	for _, n := range sim.order {
		n.counters.Bytes += int64(float64(readBytes*len(n.streams)) * control.TickInterval.Seconds() / wait.Seconds())
		sim.drive(n, control.Tick{})
		sim.simulateAttempts(n)
		start := time.Now()
		n.snapshot = control.NewSnapshot(sim.now, n.self, n.machines)
		n.counters.Busy += time.Since(start)
		sim.flush(n)
	}
}

func (sim *simulation) drive(n *entryHost, in control.Input) {
	start := time.Now()
	var outs []control.Output
	control.Drive(sim.now, n.machines, in, func(out control.Output) { outs = append(outs, out) })
	n.counters.Busy += time.Since(start)
	for _, out := range outs {
		sim.perform(n, out)
	}
}

// perform carries out an output; its result is delivered at the next step.
func (sim *simulation) perform(n *entryHost, out control.Output) {
	switch out := out.(type) {
	case control.SendMessage:
		n.outbox[out.To] = append(n.outbox[out.To], out.Message)
	case control.Append:
		sim.append(n, out)
	case control.PollUpstream:
		n.counters.Bytes += pollBytes
		load := engine.Load{AsOf: sim.now.Add(-time.Second), Running: maxInFlight / 2, Slots: maxInFlight, Version: "v1"}
		sim.queue = append(sim.queue, delivery{n, control.LoadReported{Upstream: out.Upstream, Load: load}})
	case control.ReadHosts:
		n.counters.Bytes += notModifiedBytes
		if n.listTag != sim.listTag {
			n.counters.Bytes += sim.listBytes
			n.listTag = sim.listTag
		}
		list := hostlist.List{AsOf: sim.now, Hosts: sim.list.Hosts}
		sim.queue = append(sim.queue, delivery{n, control.HostsRead{List: list}})
	case control.ReadNotices:
		n.counters.Bytes += notModifiedBytes
		sim.queue = append(sim.queue, delivery{n, control.NoticesRead{}})
	}
}

func (sim *simulation) append(n *entryHost, out control.Append) {
	offset := sim.offsets[out.Stream]
	sim.offsets[out.Stream]++
	n.counters.Appends++
	n.counters.Bytes += int64(len(out.Data)) + recordOverhead
	sim.publish(out.Stream, logsvc.Record{Offset: offset, Time: sim.now, ID: out.ID, Data: out.Data})
	sim.queue = append(sim.queue, delivery{n, control.Appended{Stream: out.Stream, ID: out.ID, Offset: offset}})
}

// publish delivers a record to each host that reads its stream.
func (sim *simulation) publish(stream string, rec logsvc.Record) {
	for _, n := range sim.order {
		if n.streams[stream] {
			n.counters.Bytes += int64(len(rec.Data)) + recordOverhead
			sim.queue = append(sim.queue, delivery{n, control.Record{Stream: stream, Record: rec}})
		}
	}
}

// flush sends a host's messages of one step, in one call for each receiver.
func (sim *simulation) flush(n *entryHost) {
	for to, messages := range n.outbox {
		delete(n.outbox, to)
		receiver := sim.hosts[to]
		req := &peerv1.DeliverRequest{From: n.self.ID, Incarnation: n.self.Incarnation, Messages: messages}
		size := int64(proto.Size(req)) + callOverhead
		n.counters.Calls++
		n.counters.Bytes += size
		if receiver == nil {
			sim.queue = append(sim.queue, delivery{n, control.DeliverFailed{To: to}})
			continue
		}
		receiver.counters.Bytes += size
		sim.queue = append(sim.queue, delivery{n, control.Delivered{To: to}})
		for _, message := range messages {
			sim.byKind[fmt.Sprintf("%T", message.GetBody())] += int64(proto.Size(message))
			sim.queue = append(sim.queue, delivery{receiver, control.MessageReceived{From: n.self.ID, Incarnation: n.self.Incarnation, Message: message}})
		}
	}
}

// simulateAttempts gives a host the results of its share of the requests of
// one step, and its current demand.
func (sim *simulation) simulateAttempts(n *entryHost) {
	if n.snapshot == nil || n.snapshot.Document == nil {
		return
	}
	rate := sim.size.Requests / float64(sim.size.Hosts)
	n.pendingFraction += rate * control.TickInterval.Seconds()
	available := availableUpstreams(n.snapshot)
	if len(available) == 0 {
		return
	}
	for ; n.pendingFraction >= 1; n.pendingFraction-- {
		u := available[sim.random.IntN(len(available))]
		sim.drive(n, control.AttemptEnded{
			Upstream: u.ID, Service: u.Service, Route: "question", Version: u.Version, Customer: "customer-000",
			RequestID: "r", Fingerprint: sim.random.Uint64(), Started: sim.now.Add(-timeInFlight),
			FirstToken: 200 * time.Millisecond, Between: 30 * time.Millisecond, Took: timeInFlight, Tokens: 60,
		})
	}
	for _, demand := range demands(available, int(rate*timeInFlight.Seconds())) {
		sim.drive(n, demand)
	}
}

func availableUpstreams(snapshot *control.Snapshot) []*control.Upstream {
	var available []*control.Upstream
	for _, list := range snapshot.Upstreams {
		for _, u := range list {
			if u.Available && u.LimitAt(snapshot.At) > 0 {
				available = append(available, u)
			}
		}
	}
	return available
}

// demands returns the demand of a number of running requests that are spread
// evenly over upstreams.
func demands(available []*control.Upstream, running int) []control.Demand {
	byService := map[string]control.Demand{}
	for i := range running {
		u := available[i%len(available)]
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

// resetCounters clears the counters of all hosts and of message kinds.
func (sim *simulation) resetCounters() {
	clear(sim.byKind)
	for _, n := range sim.order {
		n.counters = Counters{}
	}
}

var errNotApplied = errors.New("the configuration is not in effect on every host")

// checkApplied returns an error unless the configuration at offset is in effect on
// every host.
func (sim *simulation) checkApplied(offset int64) error {
	for _, n := range sim.order {
		if n.snapshot.Offset != offset {
			return errNotApplied
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
