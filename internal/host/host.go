// Package host assembles one entry host: the kernel's modules, the control
// loop with its I/O, and the listener.
package host

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
	"github.com/marigoldmux/marigoldmux/internal/bind"
	"github.com/marigoldmux/marigoldmux/internal/burn"
	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/connlimit"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/delivery"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/handoff"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/limits"
	"github.com/marigoldmux/marigoldmux/internal/peer"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/platform/weightstore"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/settings"
	"github.com/marigoldmux/marigoldmux/internal/standby"
	"github.com/marigoldmux/marigoldmux/internal/survey"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
	"github.com/marigoldmux/marigoldmux/internal/tlsfiles"
)

// Events of starting and stopping an entry host.
var (
	eventStarted            = event.Define(101, zapcore.InfoLevel, "host started")
	eventStopping           = event.Define(102, zapcore.InfoLevel, "host stopping")
	eventStopped            = event.Define(103, zapcore.InfoLevel, "host stopped")
	eventStopFail           = event.Define(104, zapcore.WarnLevel, "module did not stop cleanly")
	eventDrainIncomplete    = event.Define(105, zapcore.ErrorLevel, "host stopped before all requests had ended")
	eventReloaded           = event.Define(106, zapcore.InfoLevel, "settings of the host checked")
	eventSignal             = event.Define(107, zapcore.InfoLevel, "host received a signal")
	eventServerError        = event.Define(108, zapcore.WarnLevel, "server of the host reports an error")
	eventAddressAwaited     = event.Define(109, zapcore.WarnLevel, "address of the host cannot be used yet")
	eventBurnHandoverFailed = event.Define(803, zapcore.WarnLevel, "service-level accounts not handed over")

	eventRetireFailed = event.Define(600, zapcore.WarnLevel, "log service did not record the retirement of this host's claims; peers were notified")
)

const (
	defaultDrainTimeout = 30 * time.Second
	retireTimeout       = 3 * time.Second
	readHeaderTimeout   = 10 * time.Second
	bodyTimeout         = 30 * time.Second
	writeTimeout        = 30 * time.Second
	idleTimeout         = 2 * time.Minute
	// maxHeader bounds the header of an HTTP request, in bytes.
	maxHeader = 64 << 10
	// headMemory is the memory that the headers of all requests share, in bytes.
	headMemory = 32 << 20
	// maxFrame bounds an HTTP/2 frame, in bytes: each connection has a buffer for one.
	maxFrame         = 16 << 10
	incarnationBytes = 6
)

// ErrStart is the root of errors from starting a host.
var ErrStart = eris.New("host did not start")

// Platform holds the clients of the platform's services.
type Platform struct {
	Log     logsvc.Log
	Hosts   hostlist.Source
	Cloud   cloud.API
	Weights weightstore.Store
}

// Dependencies holds the clients and other inputs that a host gets from its
// caller.
type Dependencies struct {
	Platform Platform
	Dialer   dial.Dialer
	Events   *event.Logger
	// Seed seeds the host's random number generator for routing.
	Seed uint64
}

// Host is one entry host.
type Host struct {
	settings   *settings.Settings
	self       control.Self
	deps       Dependencies
	app        *kernel.App
	loop       *control.Loop
	dispatcher *dispatch.Dispatcher
	standby    *standby.Standby
	mover      *handoff.Mover
	recorder   *burn.Recorder
	claims     *claim.Store
	surveyor   *survey.Surveyor
	peer       peerv1connect.PeerServiceHandler
	echo       *echo.Echo
	server     *http.Server
	listener   *delivery.Listener
	cancel     context.CancelFunc
	work       sync.WaitGroup
}

// NewIncarnation returns a random ID for one run of a process.
func NewIncarnation() string {
	buf := make([]byte, incarnationBytes)
	_, _ = rand.Read(buf)
	return hex.EncodeToString(buf)
}

// New assembles a host. Nothing runs before Start or StartControl.
func New(s *settings.Settings, deps Dependencies) (*Host, error) {
	self := control.Self{
		ID: s.Host, Incarnation: NewIncarnation(), Address: s.Address,
		Zone: s.AvailabilityZone, Region: s.Region,
	}
	h := &Host{settings: s, self: self, deps: deps, loop: control.NewLoop(self), recorder: burn.NewRecorder()}
	h.deps.Events = deps.Events.With(zap.String("host", self.ID))
	tickets, err := ticket.NewIssuer(s.Secret, self.ID, self.Incarnation)
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	atMostOnce := &peer.AtMostOnceClient{Snapshot: h.loop.Snapshot, Dialer: deps.Dialer}
	h.claims = claim.NewStore(claim.Options{
		Self: self, Snapshot: h.loop.Snapshot, Log: deps.Platform.Log, Peers: atMostOnce, Tickets: tickets,
	})
	h.standby = &standby.Standby{Snapshot: h.loop.Snapshot, Dialer: deps.Dialer}
	h.dispatcher = dispatch.New(dispatch.Options{
		Self:     self,
		Snapshot: h.loop.Snapshot,
		Report:   h.report,
		Ended:    h.recorder.Ended,
		Router:   route.NewBalancer(h.loop.Snapshot, h.loop.TryPut, deps.Seed),
		Claims:   h.claims,
		Relay:    atMostOnce,
		Copier:   h.standby,
		Dialer:   deps.Dialer,
		Events:   h.deps.Events,
	})
	h.standby.Adopt = h.dispatcher.Adopt
	if err := h.prepare(); err != nil {
		return nil, err
	}
	return h, nil
}

// prepare creates the kernel's modules and registers their routes.
func (h *Host) prepare() error {
	h.mover = handoff.NewMover(h.loop.Snapshot, h.dispatcher, h.deps.Dialer, h.deps.Events)
	ctx := kernel.NewContext(h.settings, h.self, h.deps.Events)
	kernel.Provide(ctx, h.loop)
	kernel.Provide(ctx, h.dispatcher)
	kernel.Provide(ctx, h.recorder)
	kernel.Provide(ctx, h.claims)
	kernel.Provide(ctx, h.standby)
	kernel.Provide(ctx, h.deps.Dialer)
	kernel.Provide(ctx, h.deps.Platform.Log)
	kernel.Provide[entry.Follower](ctx, &peer.Follower{
		Snapshot: h.loop.Snapshot, Dispatcher: h.dispatcher, Dialer: h.deps.Dialer,
	})
	app, err := kernel.NewApp(ctx)
	if err != nil {
		return err
	}
	h.app = app
	if h.peer, err = kernel.Lookup[peerv1connect.PeerServiceHandler](ctx); err != nil {
		return err
	}
	if h.surveyor, err = kernel.Lookup[*survey.Surveyor](ctx); err != nil {
		return err
	}
	h.loop.SetMachines(app.Machines())
	h.echo = echo.New()
	h.echo.HideBanner = true
	h.echo.HidePort = true
	h.echo.Logger.SetOutput(h.deps.Events.Writer(eventServerError))
	app.Routes(h.echo)
	return nil
}

// report passes observations from traffic to the control loop, and the results of
// attempts also to the recorder. The loop drops them when its queue is full.
func (h *Host) report(in control.Input) {
	if ended, ok := in.(control.AttemptEnded); ok {
		h.recorder.Attempt(ended, time.Now())
	}
	h.loop.TryPut(in)
}

// Loop returns the host's control loop.
func (h *Host) Loop() *control.Loop { return h.loop }

// Dispatcher returns the host's dispatcher.
func (h *Host) Dispatcher() *dispatch.Dispatcher { return h.dispatcher }

// Claims returns the host's claims.
func (h *Host) Claims() *claim.Store { return h.claims }

// Handler returns the host's HTTP interface.
func (h *Host) Handler() http.Handler { return h.echo }

// Peer returns the service that the host offers to its peers.
func (h *Host) Peer() peerv1connect.PeerServiceHandler { return h.peer }

// Self returns the host's identity.
func (h *Host) Self() control.Self { return h.self }

// StartControl starts the control loop, its I/O and the modules, without a listener.
func (h *Host) StartControl() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	perf := newPerformer(ctx, h.self, h.loop, h.deps, &h.work)
	h.spawn(func() { h.loop.Run(ctx, perf) })
	for _, stream := range h.loop.Streams() {
		h.spawn(func() { perf.readStream(stream) })
	}
	h.spawn(func() { h.claims.Run(ctx) })
	h.spawn(func() { h.standby.Run(ctx) })
	h.spawn(func() { h.handOverOnNotice(ctx) })
	if err := h.app.Start(ctx); err != nil {
		cancel()
		return err
	}
	h.deps.Events.Emit(eventStarted, zap.String("availabilityZone", h.self.Zone), zap.String("address", h.self.Address))
	return nil
}

func (h *Host) spawn(f func()) {
	h.work.Add(1)
	go func() {
		defer h.work.Done()
		f()
	}()
}

// Listen opens the listener of the host. It waits for an address that is in use until ctx
// is done.
func (h *Host) Listen(ctx context.Context) (net.Listener, error) {
	open := func() (net.Listener, error) { return net.Listen("tcp", h.settings.Listen) }
	listener, err := bind.Retry(ctx, open, func(err error) { h.deps.Events.Emit(eventAddressAwaited, event.Err(err)) })
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	return listener, nil
}

// Start starts the host and serves on listener.
func (h *Host) Start(listener net.Listener) error {
	h.listener = delivery.NewListener(bind.KeepAccepting(listener))
	listener = h.listener
	if s := h.settings.TLS; s != nil {
		source, err := tlsfiles.Load(tlsfiles.Files{Cert: s.CertFile, Key: s.KeyFile, PeerCA: s.PeerCAFile}, h.deps.Events)
		if err != nil {
			return err
		}
		listener = tls.NewListener(h.bound(listener, connlimit.Encrypted), source.Server())
	} else {
		listener = h.bound(listener, connlimit.Plain)
	}
	if err := h.StartControl(); err != nil {
		return err
	}
	h.server = newServer(h.echo, log.New(h.deps.Events.Writer(eventServerError), "", 0))
	h.spawn(func() {
		if err := h.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.deps.Events.Emit(eventStopFail, zap.Error(err))
		}
	})
	return nil
}

// bound bounds the connections of the host's listener.
func (h *Host) bound(listener net.Listener, encryption connlimit.Encryption) net.Listener {
	connections := connlimit.Accepted()
	return connlimit.NewGate(connections, headMemory).Listen(listener, connections, encryption)
}

// newServer returns the HTTP server of a host, which reports its own errors to errorLog.
func newServer(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		ErrorLog:          errorLog,
		Handler:           connlimit.Handler(limits.Handler(handler, limits.Timeouts{Body: bodyTimeout, Write: writeTimeout})),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		Protocols:         protocols(),
		HTTP2:             &http.HTTP2Config{MaxReadFrameSize: maxFrame},
		ConnState:         connlimit.ConnState,
		ConnContext:       connlimit.ConnContext,
	}
}

// protocols returns the HTTP versions of the listener: HTTP/1.1 for callers and
// HTTP/2, with and without TLS, for peers.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Stop stops the host gracefully: it announces that the host is leaving, hands
// requests over to other hosts and waits for the rest, until the drain timeout or
// an earlier reclaim deadline. It returns the context's error when requests did
// not end in time.
func (h *Host) Stop(ctx context.Context) error {
	h.deps.Events.Emit(eventStopping)
	timeout := h.settings.DrainTimeout.D()
	if timeout == 0 {
		timeout = defaultDrainTimeout
	}
	deadline := time.Now().Add(timeout)
	if notice := h.loop.Snapshot().Deadline; !notice.IsZero() && notice.Before(deadline) {
		deadline = notice
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	h.loop.Put(ctx, control.Leaving{Deadline: deadline})
	h.mover.HandOver(ctx)
	err := h.dispatcher.Drain(ctx)
	if err != nil {
		h.deps.Events.Emit(eventDrainIncomplete, zap.Int("active", h.dispatcher.Active()))
	}
	h.retireClaims()
	if err := h.surveyor.HandOver(ctx); err != nil {
		h.deps.Events.Emit(eventBurnHandoverFailed, zap.Error(err))
	}
	if h.server != nil {
		// The dispatcher has waited for the requests; callers may keep connections without one.
		if err := h.server.Shutdown(ctx); err != nil {
			h.deps.Events.Emit(eventStopFail, event.Err(err))
		}
	}
	h.Kill()
	if h.listener != nil {
		h.listener.Finish(time.Until(deadline))
	}
	h.deps.Events.Emit(eventStopped)
	return err
}

// handOverOnNotice hands all requests over to other hosts once this host is
// leaving.
func (h *Host) handOverOnNotice(ctx context.Context) {
	if h.AwaitLeaving(ctx) {
		h.mover.HandOver(ctx)
	}
}

// SignalReceived emits an event about a signal to the process.
func (h *Host) SignalReceived(signal os.Signal) {
	h.deps.Events.Emit(eventSignal, zap.Stringer("signal", signal))
}

// SettingsChecked emits an event about a check of the settings file with the result err.
func (h *Host) SettingsChecked(err error) { h.deps.Events.Emit(eventReloaded, event.Err(err)) }

// AwaitLeaving waits until this host is leaving, that is, being stopped or under
// a reclaim notice. It returns false when the context ends first.
func (h *Host) AwaitLeaving(ctx context.Context) bool {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for !h.loop.Snapshot().Leaving {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// retireClaims records which calls that must run at most once never ran on this
// host, so that other hosts can answer retries of these calls.
func (h *Host) retireClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), retireTimeout)
	defer cancel()
	if err := h.claims.Retire(ctx); err != nil {
		h.deps.Events.Emit(eventRetireFailed, zap.Error(err))
	}
}

// Kill stops the host immediately and aborts its requests.
func (h *Host) Kill() {
	for _, err := range h.app.Stop(context.Background()) {
		h.deps.Events.Emit(eventStopFail, zap.Error(err))
	}
	if h.server != nil {
		_ = h.server.Close()
	}
	h.cancel()
	h.dispatcher.Abort()
	h.work.Wait()
}
