// Package config maintains the active configuration of a host. Documents are
// read from the log or, while the log is unavailable, received from peers. The
// document with the highest offset is active; a host never reverts to a lower
// offset.
package config

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/checkpoint"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// NoBase is the base of the first document of a deployment.
const NoBase = -1

// peerRequestInterval is the time between two requests to peers for a newer
// configuration while the log is unavailable or its state is not yet known.
const peerRequestInterval = time.Second

// Put is the log entry of a document.
type Put struct {
	// ID is the unique ID that the writer gave the entry.
	ID string `json:"id"`
	// Base is the offset of the document that this one replaces. An entry whose
	// base is not the active document does not become active.
	Base int64 `json:"base"`
	// Author names who published the document.
	Author string `json:"author,omitempty"`
	// Document is the text, JSON with comments; empty if Patch is set.
	Document string `json:"document,omitempty"`
	// Patch is a JSON Patch (RFC 6902) of the document at Base. With many hosts
	// and frequent changes, patches keep the amount that every host reads small.
	Patch json.RawMessage `json:"patch,omitempty"`
}

// State is the folded state of the stream.
type State struct {
	// Offset is the offset of the active document.
	Offset int64 `json:"offset"`
	// Put is the active entry with its whole document, which is empty before
	// the first.
	Put Put `json:"put"`
	// Recent holds the outcomes of the newest entries, oldest first.
	Recent []control.PutOutcome `json:"recent,omitempty"`
	// parsed is the document of Put; nil if the state came from a checkpoint.
	parsed *document.Document
}

// maxRecentPuts is the number of entries whose outcomes are kept.
const maxRecentPuts = 64

// hasOutcome reports whether an entry with the ID, if not empty, already has an
// outcome. The first outcome of an ID is final.
func (s *State) hasOutcome(id string) bool {
	for _, known := range s.Recent {
		if known.ID == id && id != "" {
			return true
		}
	}
	return false
}

// record adds the outcome of an entry to Recent. The slice is never changed in
// place, because snapshots share it.
func (s *State) record(outcome control.PutOutcome) {
	first := max(0, len(s.Recent)+1-maxRecentPuts)
	s.Recent = slices.Concat(s.Recent[first:], []control.PutOutcome{outcome})
}

// Apply folds a Put. An entry that is not valid or has a stale base does not
// become active; one whose ID already has an outcome is ignored.
func Apply(state *State, rec logsvc.Record, entry json.RawMessage) {
	var put Put
	if json.Unmarshal(entry, &put) != nil || state.hasOutcome(put.ID) {
		return
	}
	current := int64(NoBase)
	if state.Put.Document != "" {
		current = state.Offset
	}
	outcome := control.PutOutcome{ID: put.ID, Author: put.Author, Offset: rec.Offset, Base: put.Base}
	defer func() { state.record(outcome) }()
	if put.Base != current {
		outcome.Verdict = control.PutStale
		return
	}
	outcome.Verdict = control.PutInvalid
	text, err := put.text(state)
	if err != nil {
		return
	}
	parsed, err := document.Parse(text)
	if err != nil {
		return
	}
	outcome.Verdict = control.PutAccepted
	state.Offset = rec.Offset
	state.parsed = parsed
	state.Put = Put{ID: put.ID, Base: put.Base, Author: put.Author, Document: string(text)}
}

// text returns the whole document of a Put, with its patch applied.
func (p *Put) text(state *State) ([]byte, error) {
	if len(p.Patch) == 0 {
		return []byte(p.Document), nil
	}
	return jsonc.Patch([]byte(state.Put.Document), p.Patch)
}

// NewPut returns a Put that replaces the document from by the document to, as a
// patch if that is shorter. If from is empty, the Put holds the whole document.
func NewPut(id string, base int64, author, from, to string) (Put, error) {
	put := Put{ID: id, Base: base, Author: author, Document: to}
	if from == "" {
		return put, nil
	}
	patch, err := jsonc.Diff([]byte(from), []byte(to))
	if err != nil {
		return Put{}, err
	}
	if len(patch) < len(to) {
		put.Document, put.Patch = "", patch
	}
	return put, nil
}

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of the configuration.
type Machine struct {
	self        control.Self
	fold        *logfold.Fold[State]
	document    *document.Document
	offset      int64
	text        string
	logUp       bool
	members     []control.EntryHost
	requestedAt time.Time
	nextPeer    int
	checkpoints checkpoint.Writer
}

var (
	_ control.Machine      = (*Machine)(nil)
	_ control.StreamFolder = (*Machine)(nil)
	_ kernel.Provisioner   = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.config", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.checkpoints = checkpoint.NewWriter(self, logsvc.StreamConfig)
	m.fold = logfold.New(Apply)
	m.offset = NoBase
}

// Streams implements control.StreamFolder.
func (*Machine) Streams() []string { return []string{logsvc.StreamConfig} }

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Record:
		if in.Stream == logsvc.StreamConfig {
			m.fold.ApplyRecord(in.Record)
			return m.activateFold()
		}
	case control.Truncated:
		if in.Stream == logsvc.StreamConfig {
			m.fold.Truncate(in.Oldest)
		}
	case control.LogHealth:
		m.logUp = in.Up
	case control.MembersChanged:
		m.members = in.Hosts
		m.checkpoints.SetMembers(in.Hosts)
	case control.MessageReceived:
		return m.handleMessage(in)
	case control.Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) activateFold() []control.Output {
	state := m.fold.State()
	if !m.fold.Complete() || state.Put.Document == "" {
		return nil
	}
	if state.parsed == nil {
		return m.activateText(state.Offset, state.Put.Document)
	}
	return m.activate(state.Offset, state.Put.Document, state.parsed)
}

// activateText parses a document and makes it active if it is valid and newer
// than the active one.
func (m *Machine) activateText(offset int64, text string) []control.Output {
	if offset <= m.offset {
		return nil
	}
	doc, err := document.Parse([]byte(text))
	if err != nil {
		return nil
	}
	return m.activate(offset, text, doc)
}

// activate makes a document active if it is newer than the active one.
func (m *Machine) activate(offset int64, text string, doc *document.Document) []control.Output {
	if offset <= m.offset {
		return nil
	}
	m.offset, m.text, m.document = offset, text, doc
	return []control.Output{control.Emit{Input: control.Configured{Offset: offset, Document: doc}}}
}

func (m *Machine) handleMessage(in control.MessageReceived) []control.Output {
	switch body := in.Message.GetBody().(type) {
	case *peerv1.Message_Config:
		return m.activateText(body.Config.GetOffset(), string(body.Config.GetDocument()))
	case *peerv1.Message_ConfigWant:
		if m.offset > body.ConfigWant.GetAfter() {
			return []control.Output{control.SendMessage{To: in.From, Message: m.configMessage()}}
		}
	case *peerv1.Message_Gossip:
		return m.handleGossip(in.From, body.Gossip.GetHosts())
	}
	return nil
}

// handleGossip requests a peer's configuration if the peer has a newer one and
// the log is unavailable.
func (m *Machine) handleGossip(from string, hosts []*peerv1.HostState) []control.Output {
	for _, host := range hosts {
		if host.GetId() == from && host.GetConfigOffset() > m.offset && !m.logUp {
			return []control.Output{m.requestConfig(from)}
		}
	}
	return nil
}

func (m *Machine) requestConfig(host string) control.Output {
	request := &peerv1.ConfigWant{After: m.offset}
	return control.SendMessage{To: host, Message: &peerv1.Message{Body: &peerv1.Message_ConfigWant{ConfigWant: request}}}
}

func (m *Machine) configMessage() *peerv1.Message {
	config := &peerv1.ConfigDocument{Offset: m.offset, Document: []byte(m.text)}
	return &peerv1.Message{Body: &peerv1.Message_Config{Config: config}}
}

func (m *Machine) tick(now time.Time) []control.Output {
	if !m.logUp || !m.fold.Complete() {
		return m.requestFromNextPeer(now)
	}
	if m.document == nil {
		return nil
	}
	return m.checkpoints.Tick(now, m.fold)
}

// requestFromNextPeer requests a newer configuration from the peers in turn.
func (m *Machine) requestFromNextPeer(now time.Time) []control.Output {
	if now.Sub(m.requestedAt) < peerRequestInterval {
		return nil
	}
	m.requestedAt = now
	for range m.members {
		m.nextPeer = (m.nextPeer + 1) % len(m.members)
		if peer := m.members[m.nextPeer].ID; peer != m.self.ID {
			return []control.Output{m.requestConfig(peer)}
		}
	}
	return nil
}

// Publish implements control.Machine.
func (m *Machine) Publish(_ time.Time, next *control.Snapshot) {
	next.Document = m.document
	next.Text = m.text
	next.Offset = m.offset
	next.LogUp = m.logUp
	if m.fold.Complete() {
		next.Puts = m.fold.State().Recent
	}
}
