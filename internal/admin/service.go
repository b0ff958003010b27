// Package admin serves the administration API: the active configuration, changes
// to it, and the state of the deployment. Changes from the console and the
// command-line tools pass the same checks.
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

// Events of the administration API.
var (
	eventPut         = event.Define(800, zapcore.InfoLevel, "document submitted to the log")
	eventDenied      = event.Define(801, zapcore.WarnLevel, "administration request denied")
	eventAuditFailed = event.Define(802, zapcore.WarnLevel, "audit entry not stored")
)

const (
	// MaxDocument bounds the text of a document, in bytes.
	MaxDocument = 4 << 20
	// zoneAttempts is the number of attempts to change the state of a zone when
	// other documents are accepted in between.
	zoneAttempts = 3
)

// ErrNoDocument is the error before a configuration is active.
var ErrNoDocument = eris.New("no configuration is in force yet")

// Service performs administrative operations for authenticated callers.
type Service struct {
	snapshot  func() *control.Snapshot
	publisher *publish.Publisher
	surveyor  *survey.Surveyor
	trail     *auditTrail
	events    *event.Logger
	accounts  []access.Account
}

// Identify returns the identity of the caller that sent a request, or
// access.ErrDenied.
func (s *Service) Identify(r *http.Request) (access.Identity, error) {
	id, err := access.Identify(r, s.accounts, s.snapshot().Document)
	if err != nil {
		s.events.Emit(eventDenied, zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path), zap.Error(err))
	}
	return id, err
}

// Change is a document that is to replace the active one.
type Change struct {
	// Base is the offset of the document to replace.
	Base int64 `json:"base"`
	// Document is the text, JSON with comments.
	Document string `json:"document"`
	// Note is the reason for the change, for the audit trail.
	Note string `json:"note,omitempty"`
}

// Config is an active configuration.
type Config struct {
	Offset   int64  `json:"offset"`
	Document string `json:"document"`
}

// PutResponse is the outcome of a change.
type PutResponse struct {
	Status publish.Status `json:"status"`
	// ID names the entry in the log; empty if none was appended.
	ID string `json:"id,omitempty"`
	// Offset is the offset of an accepted document.
	Offset int64  `json:"offset"`
	Detail string `json:"detail,omitempty"`
	// Faults lists the document's faults and the changes that the caller may not
	// make.
	Faults jsonc.Faults `json:"faults,omitempty"`
	// Current is the active configuration; set only with publish.LostRace.
	Current *Config `json:"current,omitempty"`
}

// Current returns the active configuration of this host, or ErrNoDocument.
func (s *Service) Current() (Config, error) {
	snapshot := s.snapshot()
	if snapshot.Document == nil {
		return Config{Offset: config.NoBase}, ErrNoDocument
	}
	return Config{Offset: snapshot.Offset, Document: snapshot.Text}, nil
}

// LogUp reports whether the log service responded to the last call.
func (s *Service) LogUp() bool { return s.snapshot().LogUp }

// Document returns the parsed active configuration, or nil before the first.
func (s *Service) Document() *document.Document { return s.snapshot().Document }

// Check returns the reasons why a document from a caller would be rejected: its
// faults, or a change that the caller may not make.
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

// Put checks a change and publishes it. It continues when the caller disconnects,
// so that the audit trail records the outcome.
func (s *Service) Put(ctx context.Context, id access.Identity, change Change) PutResponse {
	ctx = context.WithoutCancel(ctx)
	snapshot := s.snapshot()
	before := snapshot.Text
	if snapshot.Offset != change.Base {
		resp := baseMismatch(snapshot, change.Base)
		s.record(ctx, id, change, before, resp)
		return resp
	}
	if faults := s.Check(id, change.Document); len(faults) > 0 {
		resp := PutResponse{
			Status: publish.NotAccepted, Faults: faults,
			Detail: "the document has faults; nothing was accepted",
		}
		s.record(ctx, id, change, before, resp)
		return resp
	}
	result := s.publisher.Put(ctx, change.Base, id.Name, change.Document)
	resp := PutResponse{Status: result.Status, ID: result.ID, Offset: result.Offset, Detail: result.Detail}
	if result.Status == publish.LostRace {
		latest := s.snapshot()
		resp.Current = &Config{Offset: latest.Offset, Document: latest.Text}
	}
	s.record(ctx, id, change, before, resp)
	return resp
}

// baseMismatch returns the response to a change whose base is not the active
// document of this host. Whether the caller may make a change can be checked only
// against its base.
func baseMismatch(snapshot *control.Snapshot, base int64) PutResponse {
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

func (s *Service) record(ctx context.Context, id access.Identity, change Change, before string, resp PutResponse) {
	s.events.Emit(eventPut, zap.String("who", id.Name), zap.Int64("base", change.Base),
		zap.String("status", string(resp.Status)), zap.Int64("offset", resp.Offset))
	s.trail.append(ctx, newAuditEntry(id, change, before, resp))
}

// SetZone takes an availability zone out of service or back in. It keeps changes
// that others make in the meantime.
func (s *Service) SetZone(ctx context.Context, id access.Identity, zone string, state document.ZoneState) (PutResponse, error) {
	var resp PutResponse
	for range zoneAttempts {
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
		resp = s.Put(ctx, id, Change{Base: current.Offset, Document: text, Note: "zone " + zone + " " + string(state)})
		if resp.Status != publish.LostRace {
			break
		}
	}
	return resp, nil
}

// PutOutcome returns the outcome of an earlier change by its ID. It reports false
// if this host has not read the change from the log recently.
func (s *Service) PutOutcome(id string) (control.PutOutcome, bool) { return s.snapshot().Put(id) }

// HostState is the state of one host in a Status.
type HostState struct {
	ID   string `json:"id"`
	Zone string `json:"availabilityZone"`
	// Reached reports whether the host responded.
	Reached bool  `json:"reached"`
	Offset  int64 `json:"offset"`
	LogUp   bool  `json:"logUp"`
	Leaving bool  `json:"leaving"`
}

// Status is the state of the deployment.
type Status struct {
	// Host is the host that responds, Offset the offset of its configuration.
	Host   string `json:"host"`
	Offset int64  `json:"offset"`
	LogUp  bool   `json:"logUp"`
	// Everywhere reports whether all hosts responded with Offset or a later one.
	Everywhere bool        `json:"everywhere"`
	Hosts      []HostState `json:"hosts"`
	Rollouts   []Rollout   `json:"rollouts"`
}

// Rollout is the state of a rollout of a new version.
type Rollout struct {
	Service string               `json:"service"`
	Version string               `json:"version"`
	Offset  int64                `json:"offset"`
	Phase   control.RolloutPhase `json:"phase"`
	// By is the time by which the rollout is to be done.
	By     time.Time `json:"by"`
	Reason string    `json:"reason,omitempty"`
	// Share is the version's share of new requests.
	Share float64 `json:"share"`
}

// Status returns the state of the deployment, with the configuration offset that
// each host reports.
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
