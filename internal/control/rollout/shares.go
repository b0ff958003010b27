package rollout

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

// versionView is what the shares of a service's version depend on.
type versionView struct {
	name string
	goal float64
	// moving is nil for a version that is already proved.
	moving *Status
	// back tells that this host has taken the version back.
	back bool
	// open is the number of upstreams that may get new work.
	open int
}

// share returns what a moving version gets.
func (v *versionView) share(now time.Time) float64 {
	if v.back || v.moving.Phase == control.RolloutInProgress && !now.Before(v.moving.Move.By) {
		return 0
	}
	return v.moving.share()
}

// base reports whether the version is proved for any share.
func (v *versionView) base() bool {
	return v.moving == nil || v.moving.Phase == control.RolloutDone && !v.back
}

// shares returns the share of each version. Moving versions get what their
// status allows; the rest goes to the proved ones by their goals, and where
// these leave nothing to go by, to the one with the most open upstreams. A
// version without open upstreams gets nothing while another one has some.
func shares(now time.Time, views []versionView) []control.VersionShare {
	result := make([]control.VersionShare, len(views))
	anyOpen := false
	for _, v := range views {
		anyOpen = anyOpen || v.open > 0
	}
	rest := 1.0
	for i, v := range views {
		result[i].Version = v.name
		if v.base() || anyOpen && v.open == 0 {
			continue
		}
		result[i].Share = min(rest, v.share(now))
		rest -= result[i].Share
	}
	spread(views, result, rest, anyOpen)
	return result
}

// spread gives the rest to the proved versions. Where none of them may get
// work, it goes to what else has open upstreams and was not taken back.
func spread(views []versionView, result []control.VersionShare, rest float64, anyOpen bool) {
	usable := func(v *versionView) bool { return v.base() && (v.open > 0 || !anyOpen) }
	sum := 0.0
	best := -1
	for i := range views {
		v := &views[i]
		if !usable(v) {
			continue
		}
		sum += v.goal
		if best < 0 || v.open >= views[best].open {
			best = i
		}
	}
	if best < 0 {
		best = fallback(views)
		sum = 0
	}
	if best < 0 {
		return
	}
	if sum == 0 {
		result[best].Share += rest
		return
	}
	for i := range views {
		if usable(&views[i]) {
			result[i].Share += rest * views[i].goal / sum
		}
	}
}

// fallback returns the version to use when no proved one can take traffic, or
// -1 if all were taken back.
func fallback(views []versionView) int {
	best := -1
	for i := range views {
		if !views[i].base() && (views[i].back || views[i].moving.Phase == control.RolloutRolledBack) {
			continue
		}
		if best < 0 || views[i].before(&views[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a version is the better fallback of two: one with
// open upstreams, then a proved one, then one with the higher goal.
func (v *versionView) before(other *versionView) bool {
	if (v.open > 0) != (other.open > 0) {
		return v.open > 0
	}
	if v.base() != other.base() {
		return v.base()
	}
	return v.goal > other.goal
}

// moveOf returns the move of a version; a version without a time has none.
func moveOf(v *document.Version) (Move, bool) {
	return Move{Goal: v.Goal, By: v.By}, !v.By.IsZero()
}
