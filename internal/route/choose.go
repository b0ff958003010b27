package route

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

// drawVersion draws a version at random by the shares in effect, among those that
// have an available upstream for the query.
func (c *Core) drawVersion(q Query) string {
	shares := c.snapshot.Shares[control.RouteKey{Service: q.Service, Route: q.Route}]
	if len(shares) == 1 {
		return shares[0].Version
	}
	total := 0.0
	for _, s := range shares {
		if c.versionAvailable(q, s.Version) {
			total += s.Share
		}
	}
	draw := c.rand.Float64() * total
	for _, s := range shares {
		if !c.versionAvailable(q, s.Version) {
			continue
		}
		if draw -= s.Share; draw < 0 {
			return s.Version
		}
	}
	return ""
}

// versionAvailable reports whether a version has an available upstream that the
// query does not exclude.
func (c *Core) versionAvailable(q Query, version string) bool {
	for _, u := range c.snapshot.Upstreams[q.Service] {
		if u.Available && u.Version == version && !q.Exclude[u.ID] {
			return true
		}
	}
	return false
}

// redrawVersion draws a new version for a request whose version has no share or no
// available upstream any more, unless the query pins its version.
func (c *Core) redrawVersion(p *pending) {
	if p.query.Version != "" {
		return
	}
	key := control.RouteKey{Service: p.query.Service, Route: p.query.Route}
	for _, s := range c.snapshot.Shares[key] {
		if s.Version == p.version && s.Share > 0 && c.versionAvailable(p.query, p.version) {
			return
		}
	}
	p.version = c.drawVersion(p.query)
}

// choose returns an upstream for a request, or nil if none is free. A request for
// a version whose rollout is not done falls back to a stable version if no
// upstream is free, unless the query pins its version.
func (c *Core) choose(now time.Time, p *pending) *control.Upstream {
	c.redrawVersion(p)
	u := c.chooseForVersion(now, p)
	if u != nil || p.query.Version != "" || !c.inRollout(p.query.Service, p.version) {
		return u
	}
	if stable := c.stableVersion(p.query); stable != "" {
		p.version = stable
		return c.chooseForVersion(now, p)
	}
	return nil
}

// inRollout reports whether the rollout to a version is not done.
func (c *Core) inRollout(service, version string) bool {
	for _, r := range c.snapshot.Rollouts {
		if r.Service == service && r.Version == version {
			return r.Phase != control.RolloutDone
		}
	}
	return false
}

// stableVersion returns the version with the largest share that is not in rollout
// and has an available upstream for the query, or an empty string.
func (c *Core) stableVersion(q Query) string {
	best, share := "", 0.0
	for _, s := range c.snapshot.Shares[control.RouteKey{Service: q.Service, Route: q.Route}] {
		if s.Share > share && !c.inRollout(q.Service, s.Version) && c.versionAvailable(q, s.Version) {
			best, share = s.Version, s.Share
		}
	}
	return best
}

// chooseForVersion returns the best of a few free upstreams of the request's
// version, starting at a random one, and of those in the hint for its prefix.
func (c *Core) chooseForVersion(now time.Time, p *pending) *control.Upstream {
	list := c.snapshot.Upstreams[p.query.Service]
	if len(list) == 0 {
		return nil
	}
	hint := c.affinity.hint(p.query.Prefix, list, p.version)
	var best *control.Upstream
	bestScore := math.Inf(1)
	seen := 0
	offset := c.rand.IntN(len(list))
	for i := range list {
		u := list[(offset+i)%len(list)]
		if seen >= maxCandidates && u != hint.home && u.ID != hint.last {
			continue
		}
		if !c.usable(now, u, p) {
			continue
		}
		seen++
		if score := c.score(u, p, hint); score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

func (c *Core) usable(now time.Time, u *control.Upstream, p *pending) bool {
	return u.Available && u.Version == p.version && !p.query.Exclude[u.ID] && c.usage(u.ID).inFlight < u.LimitAt(now)
}

// score returns the score of an upstream for a request; the lowest is best.
func (c *Core) score(u *control.Upstream, p *pending, hint hint) float64 {
	score := c.load(u) + priceWeight*u.Price
	if u.Zone != c.snapshot.Self.Zone {
		score += otherZonePenalty
	}
	if _, cached := u.Prefixes[p.query.Prefix]; cached || u.ID == hint.last {
		score -= cachedBonus
	}
	if u == hint.home {
		score -= homeBonus
	}
	switch {
	case !u.Cold:
	case p.explores:
		score -= coldPenalty
	case p.class == batch:
		score += coldBatchPenalty
	default:
		score += coldPenalty
	}
	return score
}

// load estimates the share of an upstream's slots in use: the newest load report,
// corrected by the change in this host's requests in flight since, plus a part of
// this host's own use.
func (c *Core) load(u *control.Upstream) float64 {
	use := c.usage(u.ID)
	if use.loadVersion != u.LoadVersion {
		use.loadVersion, use.inFlightAtReport = u.LoadVersion, use.inFlight
	}
	own := float64(use.inFlight) / float64(max(1, u.Limit))
	if u.Capacity == 0 || u.LoadVersion == 0 {
		return own
	}
	all := u.Load + float64(use.inFlight-use.inFlightAtReport)/float64(u.Capacity)
	return max(0, all) + own/float64(ownLoadDivisor)
}
