package gateway

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
)

// updateEngines passes on the engines that are placed by the expected wait when the view
// has changed.
func (g *Gateway) updateEngines(view *catalog.View) {
	// The first call, made by NewLoop, comes before observed is set.
	if g.observed == nil || view == g.observedView || view.Document == nil {
		return
	}
	g.observedView = view
	processes := map[uint32]int64{}
	for i := range view.Document.Services {
		service := &view.Document.Services[i]
		if !service.ByExpectedWait() {
			continue
		}
		for _, m := range view.Members[service.Name] {
			processes[inflight.Hash(m.ID)] = m.Born
		}
	}
	g.observed.SetEngines(processes)
}

// reportPlacement emits an event for each service for which a configuration switches
// placement by expected wait on or off.
func (g *Gateway) reportPlacement(doc *catalog.Document) {
	placed := map[string]bool{}
	for i := range doc.Services {
		if service := &doc.Services[i]; service.ByExpectedWait() {
			placed[service.Name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(placed)) {
		if !g.waitPlaced[name] {
			g.emitPlacement(name, true, doc.Version)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(g.waitPlaced)) {
		if !placed[name] {
			g.emitPlacement(name, false, doc.Version)
		}
	}
	g.waitPlaced = placed
}

func (g *Gateway) emitPlacement(service string, on bool, version int64) {
	g.events.Emit(eventPlacement, zap.String("service", service), zap.Bool("on", on), zap.Int64("version", version))
}

// setPlacementMetrics sets the metrics of placement by expected wait.
func (g *Gateway) setPlacementMetrics(m *metrics, s *control.Snapshot) {
	m.ForecastRefusals = g.stats.ForecastRefusals.Load()
	m.SharedPromptTokens, m.HeldPromptTokens = g.stats.SharedPromptTokens.Load(), g.stats.HeldPromptTokens.Load()
	m.IndexedPrefixes, m.EnginesWithSlowdown = g.observed.Prompts.Len(), g.observed.Speeds.Len()
	if s.FastExchange {
		m.FastExchange = 1
	}
	m.ForecastErrorMs = g.stats.ForecastErrors()
}
