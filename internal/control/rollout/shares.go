package rollout

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

// versionState is what the share of a version depends on.
type versionState struct {
	name string
	goal float64
	// status is the status of the rollout; nil for a version without one.
	status *Status
	// rolledBack is set when this host has rolled the version back and the rollout
	// is not done according to the log.
	rolledBack bool
	// available is the number of upstreams that may get new requests.
	available int
}

// share returns the share of a version whose rollout is not done.
func (v *versionState) share(now time.Time) float64 {
	if v.rolledBack || v.status.Phase == control.RolloutInProgress && !now.Before(v.status.Target.Deadline) {
		return 0
	}
	return v.status.share()
}

// stable reports whether the rollout does not limit the version's share: there is
// none, or it is done and this host has not rolled the version back.
func (v *versionState) stable() bool {
	return v.status == nil || v.status.Phase == control.RolloutDone && !v.rolledBack
}

// shares returns the share of each version. Versions in a rollout get what their
// status allows, but at most what is left, and nothing after the deadline or a
// local rollback. The rest goes to the stable versions in proportion to their
// goals or, if all of these are 0, to the one with the most available upstreams
// (on a tie the last one listed). A version without available upstreams gets
// nothing while a version that was not rolled back has some.
func shares(now time.Time, versions []versionState) []control.VersionShare {
	result := make([]control.VersionShare, len(versions))
	anyAvailable := false
	for _, v := range versions {
		anyAvailable = anyAvailable || v.available > 0
	}
	rest := 1.0
	for i, v := range versions {
		result[i].Version = v.name
		if v.stable() || anyAvailable && v.available == 0 {
			continue
		}
		result[i].Share = min(rest, v.share(now))
		rest -= result[i].Share
	}
	distribute(versions, result, rest, anyAvailable)
	return result
}

// distribute adds the rest to the shares of the stable versions. If none of them
// can take requests, it goes to the fallback; without one the shares sum to less
// than 1.
func distribute(versions []versionState, result []control.VersionShare, rest float64, anyAvailable bool) {
	usable := func(v *versionState) bool { return v.stable() && (v.available > 0 || !anyAvailable) }
	sum := 0.0
	best := -1
	for i := range versions {
		v := &versions[i]
		if !usable(v) {
			continue
		}
		sum += v.goal
		if best < 0 || v.available >= versions[best].available {
			best = i
		}
	}
	if best < 0 {
		best = fallback(versions)
		sum = 0
	}
	if best < 0 {
		return
	}
	if sum == 0 {
		result[best].Share += rest
		return
	}
	for i := range versions {
		if usable(&versions[i]) {
			result[i].Share += rest * versions[i].goal / sum
		}
	}
}

// fallback returns the index of the version to use when no stable one can take
// requests, or -1 if all were rolled back.
func fallback(versions []versionState) int {
	best := -1
	for i := range versions {
		if !versions[i].stable() && (versions[i].rolledBack || versions[i].status.Phase == control.RolloutRolledBack) {
			continue
		}
		if best < 0 || versions[i].preferredTo(&versions[best]) {
			best = i
		}
	}
	return best
}

// preferredTo reports whether a version is the better fallback of two: one with
// available upstreams, then a stable one, then one with the higher goal.
func (v *versionState) preferredTo(other *versionState) bool {
	if (v.available > 0) != (other.available > 0) {
		return v.available > 0
	}
	if v.stable() != other.stable() {
		return v.stable()
	}
	return v.goal > other.goal
}

// targetOf returns the target of a version and whether it has one: a version
// without a deadline has none.
func targetOf(v *document.Version) (Target, bool) {
	return Target{Goal: v.Goal, Deadline: v.By}, !v.By.IsZero()
}
