// Package poison detects requests that crash the upstreams that run them, and holds
// them at all hosts. It does no I/O.
//
// A request that is lost with its connection may have crashed its upstream. The
// host checks whether the upstream still accepts connections. If it does not,
// the loss counts as a crash, which the host sends to its peers. A response to the
// request clears its crashes at all hosts.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

const (
	// CheckAfter is the time between a loss and the check of the upstream; the
	// listener of a crashed upstream is closed by then.
	CheckAfter = 250 * time.Millisecond
	// crashesToHold is the number of crashed upstreams from which a request is
	// held. Fewer may have crashed for other reasons while they ran it.
	crashesToHold = 3
	// crashTTL is how long a crash counts towards a hold.
	crashTTL = 5 * time.Minute
	// crashSendTime is how long a host sends its peers a crash that it detected;
	// they keep it for crashTTL.
	crashSendTime = 10 * time.Second
	// clearedTTL is how long responses are sent to peers and kept. It is not
	// shorter than crashSendTime, for which peers may send crashes from before
	// the response.
	clearedTTL = 10 * time.Second
	// maxDigestEntries is the largest number of crashes and of cleared requests
	// in a digest.
	maxDigestEntries = 32
	// maxRequests is the largest number of requests with crashes that are kept.
	maxRequests = 1024
)

// Fingerprint returns a hash that identifies the content of a request of a customer.
func Fingerprint(method, target, customer string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(strings.Join([]string{method, target, customer, ""}, "\x00"))
	_, _ = h.Write(body)
	return h.Sum64()
}

// crash is the crash of an upstream that ran a request.
type crash struct {
	// at is the boot time of the crash.
	at time.Duration
	// own is set when this host detected the crash.
	own bool
}

// crashesByUpstream holds the crashes of upstreams that ran a request, by the hash of
// the upstream's ID.
type crashesByUpstream map[uint32]crash

// Table holds the crashes that a host knows. It is safe for concurrent use.
type Table struct {
	// any is set while a loss or crash is known, and for some time after. Requests
	// need no lock while it is not.
	any atomic.Bool

	mu sync.Mutex
	// lost holds the requests lost at each upstream that is being checked.
	lost      map[string][]uint64
	byRequest map[uint64]crashesByUpstream
	// cleared holds the boot times of the latest responses to requests at any
	// host, and clearedHere those at this one. Only the latter are sent to
	// peers, since each transfer makes a response appear slightly later.
	cleared, clearedHere map[uint64]time.Duration
}

// NewTable returns a table without crashes.
func NewTable() *Table {
	return &Table{
		lost: map[string][]uint64{}, byRequest: map[uint64]crashesByUpstream{},
		cleared: map[uint64]time.Duration{}, clearedHere: map[uint64]time.Duration{},
	}
}

// Any reports whether any loss or crash is known, or was until recently.
func (t *Table) Any() bool { return t.any.Load() }

// RecordLoss records that a request was lost with its connection to an upstream. It
// reports whether the caller has to start a check of the upstream; if not, one is
// pending.
func (t *Table) RecordLoss(request uint64, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.any.Store(true)
	requests := t.lost[upstream]
	if !slices.Contains(requests, request) {
		t.lost[upstream] = append(requests, request)
	}
	return len(requests) == 0
}

// FinishCheck records the result of the check of an upstream. It returns the number
// of requests that were lost there and, if it crashed, those of them that are held
// from now on.
func (t *Table) FinishCheck(upstream string, crashed bool, now time.Duration) (lost int, held []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := t.lost[upstream]
	delete(t.lost, upstream)
	if !crashed {
		t.expire(now)
		return len(requests), nil
	}
	for _, request := range requests {
		t.addCrash(request, inflight.Hash(upstream), crash{at: now, own: true})
		if len(t.byRequest[request]) >= crashesToHold {
			held = append(held, request)
		}
	}
	return len(requests), held
}

// addCrash adds a crash unless it precedes the latest response to the request. Of
// several times of a crash the earliest is kept.
func (t *Table) addCrash(request uint64, upstream uint32, reported crash) {
	if respondedAt, known := t.cleared[request]; known && reported.at <= respondedAt {
		return
	}
	c := t.byRequest[request]
	if c == nil {
		if len(t.byRequest) >= maxRequests {
			return
		}
		c = crashesByUpstream{}
		t.byRequest[request] = c
	}
	if before, known := c[upstream]; !known || reported.at < before.at {
		c[upstream] = crash{at: reported.at, own: reported.own || before.own}
	}
	t.any.Store(true)
}

// RecordResponse records a response to a request, which clears its crashes.
func (t *Table) RecordResponse(request uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRequest[request] != nil {
		t.clearedHere[request] = now
		t.clear(request, now)
	}
}

// clear drops the crashes of a request up to a response.
func (t *Table) clear(request uint64, respondedAt time.Duration) {
	t.cleared[request] = max(t.cleared[request], respondedAt)
	for upstream, c := range t.byRequest[request] {
		if c.at <= respondedAt {
			delete(t.byRequest[request], upstream)
		}
	}
	if len(t.byRequest[request]) == 0 {
		delete(t.byRequest, request)
	}
}

// HeldUntil returns the boot time until which a request is held, or 0. A hold ends
// when fewer than crashesToHold crashes are younger than crashTTL.
func (t *Table) HeldUntil(request uint64, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var times []time.Duration
	for _, c := range t.byRequest[request] {
		if now-c.at < crashTTL {
			times = append(times, c.at)
		}
	}
	if len(times) < crashesToHold {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-crashesToHold] + crashTTL
}

// DigestEntries returns the entries of a digest: recent crashes that this host
// detected, all crashes of requests that are held, and the requests to which an
// upstream responded at this host. If not all fit, those of requests with the most
// crashes and the newest ones are kept.
//
// Scenario: the engines of an availability zone crash with hundreds of requests,
// most of which are never sent again, in a fleet of ninety hosts.
func (t *Table) DigestEntries(now time.Duration) ([]members.Crash, []members.Cleared) {
	if !t.Any() {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var crashes []members.Crash
	for request, c := range t.byRequest {
		for upstream, one := range c {
			if one.own && now-one.at <= crashSendTime || len(c) >= crashesToHold {
				crashes = append(crashes, members.Crash{Request: request, Upstream: upstream, Age: now - one.at})
			}
		}
	}
	slices.SortFunc(crashes, func(a, b members.Crash) int {
		return cmp.Or(
			cmp.Compare(len(t.byRequest[b.Request]), len(t.byRequest[a.Request])),
			cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Upstream, b.Upstream),
		)
	})
	cleared := make([]members.Cleared, 0, len(t.clearedHere))
	for request, at := range t.clearedHere {
		cleared = append(cleared, members.Cleared{Request: request, Age: now - at})
	}
	slices.SortFunc(cleared, func(a, b members.Cleared) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request))
	})
	return crashes[:min(len(crashes), maxDigestEntries)], cleared[:min(len(cleared), maxDigestEntries)]
}

// MergePeer merges the entries of a peer's digest.
func (t *Table) MergePeer(crashes []members.Crash, cleared []members.Cleared, now time.Duration) {
	if len(crashes)+len(cleared) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range cleared {
		if age := max(one.Age, 0); age <= clearedTTL {
			t.clear(one.Request, now-age)
		}
	}
	for _, one := range crashes {
		if age := max(one.Age, 0); age < crashTTL {
			t.addCrash(one.Request, one.Upstream, crash{at: now - age})
		}
	}
}

// expire drops crashes older than crashTTL and responses older than clearedTTL.
func (t *Table) expire(now time.Duration) {
	old := func(_ uint64, at time.Duration) bool { return now-at > clearedTTL }
	maps.DeleteFunc(t.cleared, old)
	maps.DeleteFunc(t.clearedHere, old)
	for request, c := range t.byRequest {
		for upstream, one := range c {
			if now-one.at >= crashTTL {
				delete(c, upstream)
			}
		}
		if len(c) == 0 {
			delete(t.byRequest, request)
		}
	}
	t.any.Store(len(t.lost)+len(t.byRequest)+len(t.cleared) > 0)
}
