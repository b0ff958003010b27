package standin

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/weightstore"
)

// Hosts is an in-process host list that shows changes after a lag.
type Hosts struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	hosts   map[string]hostlist.Host
	order   []string
	history []hostlist.List
}

var _ hostlist.Source = (*Hosts)(nil)

// NewHosts returns an empty host list.
func NewHosts(lag time.Duration) *Hosts {
	return &Hosts{lag: lag, hosts: map[string]hostlist.Host{}}
}

// Put adds or replaces a host.
func (h *Hosts) Put(host hostlist.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.hosts[host.ID]; !known {
		h.order = append(h.order, host.ID)
	}
	h.hosts[host.ID] = host
	h.record()
}

// Remove removes a host from the list.
func (h *Hosts) Remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.hosts, id)
	for i, known := range h.order {
		if known == id {
			h.order = append(h.order[:i:i], h.order[i+1:]...)
			break
		}
	}
	h.record()
}

// SetLag sets the time after which changes show.
func (h *Hosts) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// SetDown starts or ends an outage.
func (h *Hosts) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

func (h *Hosts) record() {
	list := hostlist.List{AsOf: time.Now()}
	for _, id := range h.order {
		list.Hosts = append(list.Hosts, h.hosts[id])
	}
	h.history = append(h.history, list)
}

// Hosts implements hostlist.Source.
func (h *Hosts) Hosts(context.Context) (hostlist.List, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return hostlist.List{}, hostlist.ErrUnavailable
	}
	asOf := time.Now().Add(-h.lag)
	shown := 0
	for i, list := range h.history {
		if list.AsOf.After(asOf) {
			break
		}
		shown = i
	}
	h.history = h.history[min(shown, len(h.history)):]
	if len(h.history) == 0 || h.history[0].AsOf.After(asOf) {
		return hostlist.List{AsOf: asOf}, nil
	}
	return hostlist.List{AsOf: asOf, Hosts: h.history[0].Hosts}, nil
}

// Cloud is an in-process cloud API. Callbacks are called for started and stopped
// hosts.
type Cloud struct {
	mu      sync.Mutex
	refuse  bool
	started map[string]cloud.StartRequest
	notices map[string]cloud.Notice
	onStart func(cloud.StartRequest)
	onStop  func(hostID string)
}

var _ cloud.API = (*Cloud)(nil)

// NewCloud returns a cloud API; the callbacks may be nil.
func NewCloud(onStart func(cloud.StartRequest), onStop func(string)) *Cloud {
	return &Cloud{
		started: map[string]cloud.StartRequest{},
		notices: map[string]cloud.Notice{},
		onStart: onStart,
		onStop:  onStop,
	}
}

// SetRefuse sets whether the API refuses to start hosts.
func (c *Cloud) SetRefuse(refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = refuse
}

// Notify issues a reclaim notice.
func (c *Cloud) Notify(notice cloud.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices[notice.HostID] = notice
}

// Started returns the number of hosts that were started and not yet stopped.
func (c *Cloud) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.started)
}

// Start implements cloud.API.
func (c *Cloud) Start(_ context.Context, req cloud.StartRequest) error {
	c.mu.Lock()
	_, known := c.started[req.ID]
	if !known && c.refuse {
		c.mu.Unlock()
		return cloud.ErrRefused
	}
	c.started[req.ID] = req
	c.mu.Unlock()
	if !known && c.onStart != nil {
		c.onStart(req)
	}
	return nil
}

// Stop implements cloud.API.
func (c *Cloud) Stop(_ context.Context, hostID string) error {
	c.mu.Lock()
	_, known := c.started[hostID]
	delete(c.started, hostID)
	delete(c.notices, hostID)
	c.mu.Unlock()
	if known && c.onStop != nil {
		c.onStop(hostID)
	}
	return nil
}

// Notices implements cloud.API.
func (c *Cloud) Notices(context.Context) ([]cloud.Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	notices := make([]cloud.Notice, 0, len(c.notices))
	for _, notice := range c.notices {
		notices = append(notices, notice)
	}
	return notices, nil
}

// Weights is an in-process weight store that allows one load per interval.
type Weights struct {
	mu       sync.Mutex
	interval time.Duration
	nextFree time.Time
}

var _ weightstore.Store = (*Weights)(nil)

// NewWeights returns a weight store that allows one load per interval.
func NewWeights(interval time.Duration) *Weights {
	return &Weights{interval: interval}
}

// Reserve implements weightstore.Store.
func (w *Weights) Reserve(context.Context, weightstore.Reservation) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.nextFree) {
		return &weightstore.RateLimitedError{RetryAfter: w.nextFree.Sub(now)}
	}
	w.nextFree = now.Add(w.interval)
	return nil
}
