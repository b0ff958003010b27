package forward

import (
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// lostStream is a stream whose response was lost before its first event.
type lostStream struct {
	customer string
	// sentAt is the time of day by which its use is counted.
	sentAt time.Time
}

// lostStreams holds the lost streams of upstreams until these have been checked for a
// crash. It is safe for concurrent use.
type lostStreams struct {
	mu      sync.Mutex
	streams map[string][]lostStream
}

func (l *lostStreams) add(upstream string, s lostStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == nil {
		l.streams = map[string][]lostStream{}
	}
	l.streams[upstream] = append(l.streams[upstream], s)
}

// take returns and forgets the lost streams of an upstream.
func (l *lostStreams) take(upstream string) []lostStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.streams[upstream]
	delete(l.streams, upstream)
	return taken
}

// recordLostStream notes that a stream's response was lost. One that may be sent to
// another upstream is counted there.
func (p *proxyRequest) recordLostStream(m *catalog.Member, sentAt time.Time) {
	if p.route.Kind == catalog.Stream && !p.route.Repeatable() && !p.usageCounted && p.customer != nil {
		p.h.lost.add(m.ID, lostStream{customer: p.customer.Name, sentAt: sentAt})
	}
}

// countLostStreams counts the lost streams of an upstream that has not crashed: their
// responses were lost, but they ran. Those at a crashed one had produced nothing.
//
// Scenario: half of the upstreams reset the connections of one request in ten that they
// ran, for seconds.
func (h *Handler) countLostStreams(upstream string, crashed bool) {
	for _, s := range h.lost.take(upstream) {
		if !crashed {
			h.Usage.Count(s.customer, s.sentAt)
		}
	}
}
