// Package admin serves the administration API: the configuration in force,
// changes of it, and the state of the deployment. The console and the
// command-line tools go through the same checks.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/burn"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/publish"
	"github.com/marigoldmux/marigoldmux/internal/survey"
)

// The events of administration.
var (
	eventPut       = event.Define(800, zapcore.InfoLevel, "document put to the log")
	eventDenied    = event.Define(801, zapcore.WarnLevel, "administration denied")
	eventAuditLost = event.Define(802, zapcore.WarnLevel, "audit record not kept")
)

const (
	// MaxDocument bounds the text of a document, in bytes.
	MaxDocument = 4 << 20
	// zoneTries bounds how often a change of a zone is built anew on a
	// document that came between.
	zoneTries = 3
)

// ErrNoDocument says that no configuration is in force yet.
var ErrNoDocument = eris.New("no configuration is in force yet")

// Service carries out administration for identified callers.
type Service struct {
	snapshot  func() *control.Snapshot
	publisher *publish.Publisher
	surveyor  *survey.Surveyor
	trail     *trail
	events    *event.Logger
	accounts  []access.Account
}

// Identify tells who sent a request. Its error is access.ErrDenied.
func (s *Service) Identify(r *http.Request) (access.Identity, error) {
	id, err := access.Identify(r, s.accounts, s.snapshot().Document)
	if err != nil {
		s.events.Emit(eventDenied, zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path), zap.Error(err))
	}
	return id, err
}

// Change is a document that a caller wants in force.
type Change struct {
	// Base is the offset of the document that it replaces.
	Base int64 `json:"base"`
	// Document is the text, JSON with comments.
	Document string `json:"document"`
	// Note says why, for the audit trail.
	Note string `json:"note,omitempty"`
}

// Config is a configuration in force.
type Config struct {
	Offset   int64  `json:"offset"`
	Document string `json:"document"`
}

// PutResponse tells what became of a change.
type PutResponse struct {
	Status publish.Status `json:"status"`
	// ID is the name of the entry in the log; empty when none was appended.
	ID string `json:"id,omitempty"`
	// Offset is the offset of an accepted document.
	Offset int64  `json:"offset"`
	Detail string `json:"detail,omitempty"`
	// Faults lists what is wrong with the document.
	Faults jsonc.Faults `json:"faults,omitempty"`
	// Current is the configuration in force when a race was lost.
	Current *Config `json:"current,omitempty"`
}

// Current returns the configuration in force on this host.
func (s *Service) Current() (Config, error) {
	snapshot := s.snapshot()
	if snapshot.Document == nil {
		return Config{Offset: config.NoBase}, ErrNoDocument
	}
	return Config{Offset: snapshot.Offset, Document: snapshot.Text}, nil
}

// LogUp reports whether the log service answered the last call.
func (s *Service) LogUp() bool { return s.snapshot().LogUp }

// Document returns the parsed configuration in force, nil before the first.
func (s *Service) Document() *document.Document { return s.snapshot().Document }

// Check returns what keeps a caller from putting a document in force: its
// faults, and what the caller may not change.
func (s *Service) Check(id access.Identity, text string) jsonc.Faults {
	if len(text) > MaxDocument {
		return jsonc.Faults{{Message: fmt.Sprintf("the document is longer than %d bytes", MaxDocument)}}
	}
	doc, err := document.Parse([]byte(text))
	if err != nil {
		return faultsOf(err)
	}
	var denial *access.Denial
	switch err := id.MayPut(s.snapshot().Document, doc); {
	case errors.As(err, &denial):
		return jsonc.Faults{{Path: denial.Path, Line: lineOf(text, denial.Path), Message: denial.Message}}
	case err != nil:
		return jsonc.Faults{{Message: err.Error()}}
	}
	return nil
}

func faultsOf(err error) jsonc.Faults {
	var faults jsonc.Faults
	if errors.As(err, &faults) {
		return faults
	}
	return jsonc.Faults{{Message: err.Error()}}
}

func lineOf(text, path string) int {
	parsed, err := jsonc.Parse([]byte(text))
	if err != nil {
		return 0
	}
	return parsed.Line(path)
}

// Put checks a change and puts it in force. It goes on when the caller leaves,
// so that the audit trail tells what became of it.
func (s *Service) Put(ctx context.Context, id access.Identity, change Change) PutResponse {
	ctx = context.WithoutCancel(ctx)
	snapshot := s.snapshot()
	before := snapshot.Text
	if snapshot.Offset != change.Base {
		answer := offBase(snapshot, change.Base)
		s.record(ctx, id, change, before, answer)
		return answer
	}
	if faults := s.Check(id, change.Document); len(faults) > 0 {
		answer := PutResponse{
			Status: publish.NotAccepted, Faults: faults,
			Detail: "the document has faults; nothing was accepted",
		}
		s.record(ctx, id, change, before, answer)
		return answer
	}
	result := s.publisher.Put(ctx, change.Base, id.Name, change.Document)
	answer := PutResponse{Status: result.Status, ID: result.ID, Offset: result.Offset, Detail: result.Detail}
	if result.Status == publish.LostRace {
		winner := s.snapshot()
		answer.Current = &Config{Offset: winner.Offset, Document: winner.Text}
	}
	s.record(ctx, id, change, before, answer)
	return answer
}

// offBase answers a change whose base is not the document that this host has
// in force. What a caller may change is known only against its base.
func offBase(snapshot *control.Snapshot, base int64) PutResponse {
	if snapshot.Offset < base {
		return PutResponse{
			Status: publish.NotAccepted,
			Detail: "this host has not read the base of the change yet; nothing was accepted",
		}
	}
	return PutResponse{
		Status: publish.LostRace, Detail: "another document came first; nothing was accepted",
		Current: &Config{Offset: snapshot.Offset, Document: snapshot.Text},
	}
}

func (s *Service) record(ctx context.Context, id access.Identity, change Change, before string, answer PutResponse) {
	s.events.Emit(eventPut, zap.String("who", id.Name), zap.Int64("base", change.Base),
		zap.String("status", string(answer.Status)), zap.Int64("offset", answer.Offset))
	s.trail.append(ctx, newAuditEntry(id, change, before, answer))
}

// SetZone takes an availability zone out or back in. Changes that come between
// are kept.
func (s *Service) SetZone(ctx context.Context, id access.Identity, zone string, state document.ZoneState) (PutResponse, error) {
	var answer PutResponse
	for range zoneTries {
		current, err := s.Current()
		if err != nil {
			return PutResponse{}, err
		}
		text, err := WithZone(current.Document, zone, state)
		if err != nil {
			return PutResponse{}, err
		}
		if text == current.Document {
			return PutResponse{Status: publish.Accepted, Offset: current.Offset, Detail: "the zone is in this state already"}, nil
		}
		answer = s.Put(ctx, id, Change{Base: current.Offset, Document: text, Note: "zone " + zone + " " + string(state)})
		if answer.Status != publish.LostRace {
			break
		}
	}
	return answer, nil
}

// PutOutcome returns what became of an earlier change by its ID. It reports
// false for one that the log has not given back.
func (s *Service) PutOutcome(id string) (control.PutOutcome, bool) { return s.snapshot().Put(id) }

// HostState is the state of one host as an operator sees it.
type HostState struct {
	ID   string `json:"id"`
	Zone string `json:"availabilityZone"`
	// Reached is false for a host that did not answer.
	Reached bool  `json:"reached"`
	Offset  int64 `json:"offset"`
	LogUp   bool  `json:"logUp"`
	Leaving bool  `json:"leaving"`
}

// Status is the state of the deployment.
type Status struct {
	// Host is the host that answers, Offset its configuration.
	Host   string `json:"host"`
	Offset int64  `json:"offset"`
	LogUp  bool   `json:"logUp"`
	// Everywhere tells that all hosts answered with Offset or a later one.
	Everywhere bool        `json:"everywhere"`
	Hosts      []HostState `json:"hosts"`
	Rollouts   []Rollout   `json:"rollouts"`
}

// Rollout is the state of a move to a new version.
type Rollout struct {
	Service string               `json:"service"`
	Version string               `json:"version"`
	Offset  int64                `json:"offset"`
	Phase   control.RolloutPhase `json:"phase"`
	By      time.Time            `json:"by"`
	Reason  string               `json:"reason,omitempty"`
	// Share is the version's share of new requests.
	Share float64 `json:"share"`
}

// Status asks all hosts for the configuration that is in force there.
func (s *Service) Status(ctx context.Context) Status {
	snapshot := s.snapshot()
	status := Status{Host: snapshot.Self.ID, Offset: snapshot.Offset, LogUp: snapshot.LogUp, Everywhere: true}
	for _, host := range s.surveyor.CollectAll(ctx, false).GetHosts() {
		state := HostState{
			ID: host.GetId(), Zone: host.GetZone(), Reached: host.GetReached(),
			Offset: host.GetConfigOffset(), LogUp: host.GetLogUp(), Leaving: host.GetLeaving(),
		}
		status.Hosts = append(status.Hosts, state)
		status.Everywhere = status.Everywhere && state.Reached && state.Offset >= snapshot.Offset
	}
	status.Rollouts = rollouts(snapshot)
	return status
}

func rollouts(snapshot *control.Snapshot) []Rollout {
	list := []Rollout{}
	for _, r := range snapshot.Rollouts {
		list = append(list, Rollout{
			Service: r.Service, Version: r.Version, Offset: r.ConfigOffset,
			Phase: r.Phase, By: r.By, Reason: r.Reason, Share: r.Share,
		})
	}
	return list
}

// Burn returns the service-level report of all hosts.
func (s *Service) Burn(ctx context.Context) burn.Report {
	return burn.Analyze(s.surveyor.CollectAll(ctx, true), s.snapshot().Document, time.Now())
}
