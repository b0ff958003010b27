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

// Sample is what one host of a deployment costs, measured.
type Sample struct {
	Size Size
	// Mean and Max are rates a second, the maximum over hosts for each alone.
	Mean, Max Rates
	// Heap is the memory of a host's control state, in bytes.
	Heap float64
	// Document is the size of the configuration, in bytes.
	Document int
	// Change, Restart and Zone are what one change of configuration, one
	// restart of a host and the loss of one zone add on the mean host.
	Change, Restart, Zone Cost
	// TimeToApply is how long a change took to be in force on every host.
	TimeToApply time.Duration
	// ByKind holds the bytes a second and host of each kind of message.
	ByKind map[string]float64
}

// Rates are costs a second.
type Rates struct {
	Calls, Bytes, Appends float64
	// Core is the share of one core.
	Core float64
}

// Cost is what one event costs a host.
type Cost struct {
	Bytes float64
	Busy  time.Duration
}

// Measure measures a deployment of a size.
func Measure(size Size, seed uint64) (Sample, error) {
	before := heap()
	f, err := newFabric(size, seed)
	if err != nil {
		return Sample{}, err
	}
	text, err := size.text()
	if err != nil {
		return Sample{}, err
	}
	if err := f.put(config.Put{ID: "first", Base: config.NoBase, Document: string(text)}); err != nil {
		return Sample{}, err
	}
	f.run(settleTime)
	if err := f.agree(0); err != nil {
		return Sample{}, err
	}
	sample := Sample{Size: size, Document: len(text)}
	f.reset()
	f.run(steadyTime)
	sample.Mean, sample.Max = f.rates(steadyTime)
	sample.ByKind = f.kinds(steadyTime)
	sample.Heap = float64(heap()-before) / float64(size.Hosts)
	if err := f.events(&sample, string(text)); err != nil {
		return Sample{}, err
	}
	return sample, nil
}

// events measures a change of configuration, a restart and the loss of a zone.
func (f *fabric) events(sample *Sample, text string) error {
	f.reset()
	changed := strings.Replace(text, `"maxTokens": 400`, `"maxTokens": 401`, 1)
	put, err := config.NewPut("second", 0, "", text, changed)
	if err != nil {
		return err
	}
	offset := f.offsets[logsvc.StreamConfig]
	start := f.now
	if err := f.put(put); err != nil {
		return err
	}
	for f.agree(offset) != nil && f.now.Sub(start) < eventTime {
		f.step()
	}
	sample.TimeToApply = f.now.Sub(start)
	f.run(eventTime - f.now.Sub(start))
	sample.Change = f.cost(sample.Mean, eventTime)

	f.reset()
	if err := f.start(0, "second"); err != nil {
		return err
	}
	f.run(eventTime)
	sample.Restart = f.cost(sample.Mean, eventTime)

	f.reset()
	f.loseZone(zoneName(1))
	f.run(eventTime)
	sample.Zone = f.cost(sample.Mean, eventTime)
	return nil
}

func (f *fabric) put(put config.Put) error {
	data, err := logfold.EncodeEntry(put)
	if err != nil {
		return err
	}
	offset := f.offsets[logsvc.StreamConfig]
	f.offsets[logsvc.StreamConfig]++
	f.publish(logsvc.StreamConfig, logsvc.Record{Offset: offset, Time: f.now, ID: put.ID, Data: data})
	return nil
}

// loseZone ends all hosts of a zone and takes its hosts off the list.
func (f *fabric) loseZone(zone string) {
	list := f.list
	list.AsOf = f.now
	list.Hosts = nil
	for _, host := range f.list.Hosts {
		if host.Zone != zone {
			list.Hosts = append(list.Hosts, host)
		}
	}
	f.setList(list)
	var order []*node
	for _, n := range f.order {
		if n.self.Zone == zone {
			delete(f.nodes, n.self.ID)
			continue
		}
		order = append(order, n)
	}
	f.order = order
	var queue []delivery
	for _, d := range f.queue {
		if f.nodes[d.to.self.ID] != nil {
			queue = append(queue, d)
		}
	}
	f.queue = queue
}

func (f *fabric) rates(d time.Duration) (mean, most Rates) {
	seconds := d.Seconds()
	for _, n := range f.order {
		r := Rates{
			Calls:   float64(n.counters.Calls) / seconds,
			Bytes:   float64(n.counters.Bytes) / seconds,
			Appends: float64(n.counters.Appends) / seconds,
			Core:    n.counters.Busy.Seconds() / seconds,
		}
		count := float64(len(f.order))
		mean = Rates{mean.Calls + r.Calls/count, mean.Bytes + r.Bytes/count, mean.Appends + r.Appends/count, mean.Core + r.Core/count}
		most = Rates{max(most.Calls, r.Calls), max(most.Bytes, r.Bytes), max(most.Appends, r.Appends), max(most.Core, r.Core)}
	}
	return mean, most
}

// cost returns what the mean host spent above the steady rates.
func (f *fabric) cost(steady Rates, d time.Duration) Cost {
	mean, _ := f.rates(d)
	return Cost{
		Bytes: max(0, mean.Bytes-steady.Bytes) * d.Seconds(),
		Busy:  time.Duration(max(0, mean.Core-steady.Core) * float64(d)),
	}
}

func (f *fabric) kinds(d time.Duration) map[string]float64 {
	kinds := map[string]float64{}
	for kind, size := range f.byKind {
		name := strings.TrimPrefix(kind, "*peerv1.Message_")
		kinds[name] = float64(size) / d.Seconds() / float64(len(f.order))
	}
	return kinds
}

// String gives the sample in one line.
func (s Sample) String() string {
	return fmt.Sprintf("%d hosts: %.1f calls/s, %.2f KB/s (max %.2f), %.3f%% core (max %.3f%%), %.2f MB",
		s.Size.Hosts, s.Mean.Calls, s.Mean.Bytes/1e3, s.Max.Bytes/1e3, 100*s.Mean.Core, 100*s.Max.Core, s.Heap/1e6)
}
