// Package modules imports every module for its side effect: each registers itself
// with the kernel package.
package modules

import (
	_ "github.com/marigoldmux/marigoldmux/internal/admin"
	_ "github.com/marigoldmux/marigoldmux/internal/console"
	_ "github.com/marigoldmux/marigoldmux/internal/control/config"
	_ "github.com/marigoldmux/marigoldmux/internal/control/fleet"
	_ "github.com/marigoldmux/marigoldmux/internal/control/listing"
	_ "github.com/marigoldmux/marigoldmux/internal/control/membership"
	_ "github.com/marigoldmux/marigoldmux/internal/control/poison"
	_ "github.com/marigoldmux/marigoldmux/internal/control/rollout"
	_ "github.com/marigoldmux/marigoldmux/internal/control/upstreams"
	_ "github.com/marigoldmux/marigoldmux/internal/entry"
	_ "github.com/marigoldmux/marigoldmux/internal/metrics"
	_ "github.com/marigoldmux/marigoldmux/internal/peer"
	_ "github.com/marigoldmux/marigoldmux/internal/survey"
)
