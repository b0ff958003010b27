package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

const (
	settleTime = 75 * time.Second
	steadyTime = 30 * time.Second
	eventTime  = 20 * time.Second
)

// Sample holds the measured control costs of one host of a deployment.
type Sample struct {
	Size Size
	// Mean is the mean of the rates over hosts, Max the maximum of each rate
	// taken separately.
	Mean, Max Rates
	// Heap is the memory of a host's control state, in bytes.
	Heap float64
	// Document is the size of the configuration, in bytes.
	Document int
	// Change, Restart and Zone are the costs that one change of configuration,
	// one restart of a host and the loss of one zone add on the mean host.
	Change, Restart, Zone Cost
	// TimeToApply is the time until a change was in effect on every host.
	TimeToApply time.Duration
	// ByKind holds the bytes a second on the mean host by kind of message.
	ByKind map[string]float64
}

// Rates holds costs a second.
type Rates struct {
	Calls, Bytes, Appends float64
	// Core is the share of one processor core.
	Core float64
}

// Cost is the cost of one event on a host.
type Cost struct {
	Bytes float64
	Busy  time.Duration
}

// Measure measures the control costs of a deployment.
func Measure(size Size, seed uint64) (Sample, error) {
	before := heap()
	sim, err := newSimulation(size, seed)
	if err != nil {
		return Sample{}, err
	}
	text, err := size.text()
	if err != nil {
		return Sample{}, err
	}
	if err := sim.putConfig(config.Put{ID: "first", Base: config.NoBase, Document: string(text)}); err != nil {
		return Sample{}, err
	}
	sim.run(settleTime)
	if err := sim.checkApplied(0); err != nil {
		return Sample{}, err
	}
	sample := Sample{Size: size, Document: len(text)}
	sim.resetCounters()
	sim.run(steadyTime)
	sample.Mean, sample.Max = sim.rates(steadyTime)
	sample.ByKind = sim.kindRates(steadyTime)
	sample.Heap = float64(heap()-before) / float64(size.Hosts)
	if err := sim.measureEvents(&sample, string(text)); err != nil {
		return Sample{}, err
	}
	return sample, nil
}

// measureEvents measures a change of configuration, a restart of a host and the
// loss of a zone.
func (sim *simulation) measureEvents(sample *Sample, text string) error {
	sim.resetCounters()
	changed := strings.Replace(text, `"maxTokens": 400`, `"maxTokens": 401`, 1)
	put, err := config.NewPut("second", 0, "", text, changed)
	if err != nil {
		return err
	}
	offset := sim.offsets[logsvc.StreamConfig]
	start := sim.now
	if err := sim.putConfig(put); err != nil {
		return err
	}
	for sim.checkApplied(offset) != nil && sim.now.Sub(start) < eventTime {
		sim.step()
	}
	sample.TimeToApply = sim.now.Sub(start)
	sim.run(eventTime - sim.now.Sub(start))
	sample.Change = sim.cost(sample.Mean, eventTime)

	sim.resetCounters()
	if err := sim.start(0, "second"); err != nil {
		return err
	}
	sim.run(eventTime)
	sample.Restart = sim.cost(sample.Mean, eventTime)

	sim.resetCounters()
	sim.removeZone(zoneName(1))
	sim.run(eventTime)
	sample.Zone = sim.cost(sample.Mean, eventTime)
	return nil
}

func (sim *simulation) putConfig(put config.Put) error {
	data, err := logfold.EncodeEntry(put)
	if err != nil {
		return err
	}
	offset := sim.offsets[logsvc.StreamConfig]
	sim.offsets[logsvc.StreamConfig]++
	sim.publish(logsvc.StreamConfig, logsvc.Record{Offset: offset, Time: sim.now, ID: put.ID, Data: data})
	return nil
}

// removeZone removes all hosts of a zone and takes its hosts and upstreams off
// the host list.
func (sim *simulation) removeZone(zone string) {
	list := sim.list
	list.AsOf = sim.now
	list.Hosts = nil
	for _, host := range sim.list.Hosts {
		if host.Zone != zone {
			list.Hosts = append(list.Hosts, host)
		}
	}
	sim.setList(list)
	var order []*entryHost
	for _, n := range sim.order {
		if n.self.Zone == zone {
			delete(sim.hosts, n.self.ID)
			continue
		}
		order = append(order, n)
	}
	sim.order = order
	var queue []delivery
	for _, d := range sim.queue {
		if sim.hosts[d.to.self.ID] != nil {
			queue = append(queue, d)
		}
	}
	sim.queue = queue
}

func (sim *simulation) rates(d time.Duration) (mean, most Rates) {
	seconds := d.Seconds()
	for _, n := range sim.order {
		r := Rates{
			Calls:   float64(n.counters.Calls) / seconds,
			Bytes:   float64(n.counters.Bytes) / seconds,
			Appends: float64(n.counters.Appends) / seconds,
			Core:    n.counters.Busy.Seconds() / seconds,
		}
		count := float64(len(sim.order))
		mean = Rates{mean.Calls + r.Calls/count, mean.Bytes + r.Bytes/count, mean.Appends + r.Appends/count, mean.Core + r.Core/count}
		most = Rates{max(most.Calls, r.Calls), max(most.Bytes, r.Bytes), max(most.Appends, r.Appends), max(most.Core, r.Core)}
	}
	return mean, most
}

// cost returns the cost on the mean host above the steady rates.
func (sim *simulation) cost(steady Rates, d time.Duration) Cost {
	mean, _ := sim.rates(d)
	return Cost{
		Bytes: max(0, mean.Bytes-steady.Bytes) * d.Seconds(),
		Busy:  time.Duration(max(0, mean.Core-steady.Core) * float64(d)),
	}
}

func (sim *simulation) kindRates(d time.Duration) map[string]float64 {
	kinds := map[string]float64{}
	for kind, size := range sim.byKind {
		name := strings.TrimPrefix(kind, "*peerv1.Message_")
		kinds[name] = float64(size) / d.Seconds() / float64(len(sim.order))
	}
	return kinds
}

// String returns the sample in one line.
func (s Sample) String() string {
	return fmt.Sprintf("%d hosts: %.1f calls/s, %.2f KB/s (max %.2f), %.3f%% core (max %.3f%%), %.2f MB",
		s.Size.Hosts, s.Mean.Calls, s.Mean.Bytes/1e3, s.Max.Bytes/1e3, 100*s.Mean.Core, 100*s.Max.Core, s.Heap/1e6)
}
