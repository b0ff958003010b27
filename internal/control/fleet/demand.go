package fleet

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

// Parameters of the demand.
const (
	// demandWindow is the time over which the peak demand is taken.
	demandWindow = 10 * time.Minute
	// demandMaxAge is the age from which a host's demand no longer counts.
	demandMaxAge = time.Minute
	// priorReclaims in priorHostHours is the reclaim rate assumed before any
	// reclaim is seen; reclaimWindow is how long a reclaim counts.
	priorReclaims  = 1.0
	priorHostHours = 24.0
	reclaimWindow  = 6 * time.Hour
)

// demandPeak tracks the peak of the hosts' total demand, in requests, over
// demandWindow.
type demandPeak struct {
	hosts map[string]hostDemand
	// buckets holds the peak by minute, in minutes since the Unix epoch.
	buckets map[int64]int
}

type hostDemand struct {
	requests int
	at       time.Time
}

func newDemandPeak() demandPeak {
	return demandPeak{hosts: map[string]hostDemand{}, buckets: map[int64]int{}}
}

func (d *demandPeak) set(now time.Time, host string, requests int) {
	d.hosts[host] = hostDemand{requests: requests, at: now}
	sum := 0
	for id, demand := range d.hosts {
		if now.Sub(demand.at) > demandMaxAge {
			delete(d.hosts, id)
			continue
		}
		sum += demand.requests
	}
	minute := now.Unix() / 60
	d.buckets[minute] = max(d.buckets[minute], sum)
	for at := range d.buckets {
		if time.Duration(minute-at)*time.Minute > demandWindow {
			delete(d.buckets, at)
		}
	}
}

func (d *demandPeak) peak() int {
	highest := 0
	for _, sum := range d.buckets {
		highest = max(highest, sum)
	}
	return highest
}

// reclaimRate estimates how often the hosts of a zone are reclaimed.
type reclaimRate struct {
	events []time.Time
}

func (r *reclaimRate) add(now time.Time) { r.events = append(r.events, now) }

// rate returns the estimated reclaims per host and hour, given the number of hosts.
func (r *reclaimRate) rate(now time.Time, hosts int) float64 {
	kept := r.events[:0]
	for _, at := range r.events {
		if now.Sub(at) < reclaimWindow {
			kept = append(kept, at)
		}
	}
	r.events = kept
	return (priorReclaims + float64(len(kept))) / (priorHostHours + float64(max(1, hosts))*reclaimWindow.Hours())
}

// versionDemand is the number of hosts that one version needs for its part of the
// service's demand, and the bounds of that number.
type versionDemand struct {
	version          string
	needed, min, max int
}

// splitDemand splits the needed hosts and the bounds over the versions. A version
// in a rollout counts with the share of its next step, since traffic may reach it
// before the next plan can take effect; the others share the rest by their goals.
func (m *Machine) splitDemand(c *controller, needed int) []versionDemand {
	rollouts := map[string]control.Rollout{}
	for _, r := range m.rollouts {
		if r.Service == c.name {
			rollouts[r.Version] = r
		}
	}
	remaining, goalSum := 1.0, 0.0
	for _, r := range rollouts {
		remaining -= r.Share
	}
	for _, v := range c.service.Versions {
		if _, inRollout := rollouts[v.Name]; !inRollout {
			goalSum += v.Goal
		}
	}
	var demands []versionDemand
	base := c.baseVersion(rollouts)
	for _, v := range c.service.Versions {
		share := 0.0
		r, inRollout := rollouts[v.Name]
		switch {
		case inRollout:
			share = r.Next
		case goalSum > 0:
			share = remaining * v.Goal / goalSum
		case v.Name == base:
			share = remaining
		}
		demands = append(demands, c.demandOf(v.Name, share, needed))
	}
	return demands
}

// baseVersion returns the version that gets all the remaining traffic when no
// version outside a rollout has a goal: the last such version.
func (c *controller) baseVersion(rollouts map[string]control.Rollout) string {
	base := ""
	for _, v := range c.service.Versions {
		if _, inRollout := rollouts[v.Name]; !inRollout {
			base = v.Name
		}
	}
	return base
}

func (c *controller) demandOf(version string, share float64, needed int) versionDemand {
	if share < 1e-9 {
		return versionDemand{version: version}
	}
	scale := func(n int) int { return int(math.Ceil(share*float64(n) - 1e-9)) }
	return versionDemand{version: version, needed: max(1, scale(needed)), min: scale(c.service.Hosts.Min), max: scale(c.service.Hosts.Max)}
}
