package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// Timing of reads of the log.
const (
	// operatorPollTimeout is how long a read waits for changes by operators. A read
	// proves the configuration as of its begin, so beliefs grow up to twice as
	// old.
	operatorPollTimeout = 350 * time.Millisecond
	// upstreamReadInterval is the pause between two reads of reports.
	upstreamReadInterval = 700 * time.Millisecond
	// roleCheckInterval is the pause between two looks at whether this host reads.
	roleCheckInterval = 100 * time.Millisecond
	// minReadBackoff is kept after a read that failed.
	minReadBackoff = 150 * time.Millisecond
	// maxReadBackoff bounds the pause after reads that failed in a row.
	maxReadBackoff = 600 * time.Millisecond
	// retryPauseStep is the time for each host of the fleet between two tries of a
	// follower.
	retryPauseStep = 15 * time.Millisecond
)

// dependency logs when something is lost and regained.
type dependency struct {
	g        *Gateway
	name     string
	failures int
}

func (d *dependency) failed(err error) time.Duration {
	if d.failures == 0 {
		d.g.events.Emit(eventLost, zap.String("dependency", d.name), event.Err(err))
	}
	d.failures++
	pause := min(minReadBackoff*time.Duration(d.failures), maxReadBackoff)
	return time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
}

func (d *dependency) succeeded() {
	if d.failures > 0 {
		d.g.events.Emit(eventRegained, zap.String("dependency", d.name), zap.Int("failures", d.failures))
	}
	d.failures = 0
}

// readOperator reads the operators' changes; it waits for them.
func (g *Gateway) readOperator(ctx context.Context) (time.Duration, []error, error) {
	from, _ := g.updates.copy.Offsets()
	asked := boottime.Now()
	update, faults, err := g.ports.Feed.ReadOperator(ctx, from, operatorPollTimeout)
	if err != nil || update.Next < from {
		return minReadBackoff, faults, err
	}
	g.updates.applyOperator(ctx, update, asked)
	return 0, faults, nil
}

// readUpstreams reads the upstreams' reports.
func (g *Gateway) readUpstreams(ctx context.Context) (time.Duration, []error, error) {
	_, from := g.updates.copy.Offsets()
	asked := boottime.Now()
	update, faults, err := g.ports.Feed.ReadUpstreams(ctx, from)
	if err == nil {
		g.updates.applyUpstreams(ctx, update, asked)
	}
	return upstreamReadInterval, faults, err
}

// readLog reads a topic again and again while this host reads the log. A read
// returns the pause before the next and what could not be understood.
func (g *Gateway) readLog(ctx context.Context, name string, read func(context.Context) (time.Duration, []error, error)) {
	log := &dependency{g: g, name: name}
	for ctx.Err() == nil {
		if !g.readsLog() {
			sleep(ctx, roleCheckInterval)
			continue
		}
		pause, faults, err := read(ctx)
		if err != nil {
			sleep(ctx, g.failureBackoff(log.failed(err)))
			continue
		}
		log.succeeded()
		g.logUndecodable(faults)
		sleep(ctx, pause)
	}
}

// readsLog reports whether this host is to read the log by itself.
func (g *Gateway) readsLog() bool { return g.source.Load().ReadsLog }

// failureBackoff returns the pause after a read of the log that failed. Followers
// that try beside their reader take turns, so that a log that is out does not
// get many more calls than else.
func (g *Gateway) failureBackoff(pause time.Duration) time.Duration {
	if g.source.Load().Reader == "" {
		return pause
	}
	hosts := len(g.loop.Snapshot().Peers) + 1
	return max(pause, time.Duration(float64(hosts)*float64(retryPauseStep)*(0.75+rand.Float64()/2)))
}

// follow asks a reader while there is one, so that few hosts read the log.
func (g *Gateway) follow(ctx context.Context) {
	chooser := relay.NewSourceSelector(g.peerAddress, g.options.AvailabilityZone)
	client := relay.NewClient()
	lost := map[string]bool{}
	for ctx.Err() == nil {
		asked := boottime.Now()
		age := g.viewAge(asked)
		choice := chooser.Select(g.readerCandidates(), age, asked)
		if was := g.source.Swap(&choice); *was != choice {
			g.events.Emit(eventSourceChanged, zap.String("reader", choice.Reader), zap.Bool("reads", choice.ReadsLog), zap.Duration("age", age))
		}
		source := choice.Reader
		if source == "" {
			sleep(ctx, roleCheckInterval)
			continue
		}
		operator, upstreams := g.updates.copy.Offsets()
		answer, err := client.Read(ctx, source, relay.Request{Operator: operator, Upstreams: upstreams, Wait: relay.MaxWait})
		if err != nil {
			chooser.MarkFailed(source, boottime.Now())
			lost[source] = true
			g.events.Emit(eventLost, zap.String("dependency", "reader "+source), event.Err(err))
			continue
		}
		if lost[source] {
			delete(lost, source)
			g.events.Emit(eventRegained, zap.String("dependency", "reader "+source))
		}
		g.updates.applyOperator(ctx, answer.Operator, asked-answer.OperatorAge)
		g.updates.applyUpstreams(ctx, answer.Upstreams, asked-answer.UpstreamsAge)
	}
}

// viewAge returns the age of the older of this host's beliefs.
func (g *Gateway) viewAge(now time.Duration) time.Duration {
	view := g.loop.Snapshot().View
	return now - min(view.ConfirmedAt, view.ListedAt)
}

// readerCandidates returns the hosts that may read for others.
func (g *Gateway) readerCandidates() []relay.Host {
	s := g.loop.Snapshot()
	hosts := make([]relay.Host, 0, len(s.Peers))
	for _, p := range s.Peers {
		if !p.Stopping {
			hosts = append(hosts, relay.Host{Address: p.PeerAddress, Zone: p.Zone, ViewAge: p.ViewAge})
		}
	}
	return hosts
}

func (g *Gateway) logUndecodable(faults []error) {
	for _, fault := range faults {
		g.events.Emit(eventUndecodable, event.Err(fault))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
