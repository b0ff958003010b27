// Package dev runs a whole deployment in one process on loopback: entry hosts
// and stand-ins for the platform and the upstreams.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/host"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
	"github.com/marigoldmux/marigoldmux/internal/logfold"

	// Registers all modules for the hosts of a system.
	_ "github.com/marigoldmux/marigoldmux/internal/modules"
	"github.com/marigoldmux/marigoldmux/internal/peerauth"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/platform/weightstore"
	"github.com/marigoldmux/marigoldmux/internal/settings"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/tlsfiles"
)

const (
	loopback = "127.0.0.1:0"

	engineTokenInterval = 15 * time.Millisecond
	enginePrefill       = 500 * time.Microsecond
	engineColdStart     = 500 * time.Millisecond
	plainDelay          = 5 * time.Millisecond
	weightsInterval     = 100 * time.Millisecond
	listLag             = 300 * time.Millisecond
	readyPollInterval   = 20 * time.Millisecond
)

// ErrStart is the root of errors from starting a system.
var ErrStart = eris.New("system did not start")

// Options configure a system.
type Options struct {
	// Config is the text of the configuration to activate.
	Config []byte
	// Hosts is the number of entry hosts.
	Hosts  int
	Events *event.Logger
	Seed   uint64
	// Secret is the deployment's shared secret.
	Secret []byte
	// TLS makes the hosts accept TLS only; nil turns TLS off.
	TLS *settings.TLS
	// Port is the port of the first entry host; the others use the ports that
	// follow. 0 selects free ports.
	Port int
	// Instant makes engines respond without delay.
	Instant bool
}

// System is a running deployment.
type System struct {
	Log     *standin.Log
	List    *standin.Hosts
	Cloud   *standin.Cloud
	Weights *standin.Weights
	Store   *standin.PlainStore
	Hosts   []*host.Host
	// Engines and Plains are the upstreams by host ID.
	Engines map[string]*standin.Engine
	Plains  map[string]*standin.Plain

	opts     Options
	document *document.Document
	platform string

	mu      sync.Mutex
	servers map[string]*http.Server
}

// Start starts a system and publishes its configuration.
func Start(opts Options) (*System, error) {
	doc, err := document.Parse(opts.Config)
	if err != nil {
		return nil, err
	}
	s := &System{
		Log:     standin.NewLog(opts.Seed),
		List:    standin.NewHosts(listLag),
		Weights: standin.NewWeights(weightsInterval),
		Store:   standin.NewPlainStore(),
		Engines: map[string]*standin.Engine{},
		Plains:  map[string]*standin.Plain{},
		opts:    opts, document: doc,
		servers: map[string]*http.Server{},
	}
	s.Cloud = standin.NewCloud(s.startUpstream, s.StopUpstream)
	handler := standin.PlatformHandler(s.Log, s.List, s.Cloud, s.Weights)
	if s.platform, err = s.serve("platform", handler); err != nil {
		return nil, err
	}
	s.startUpstreams()
	if err := s.publishConfig(); err != nil {
		s.Close()
		return nil, err
	}
	for i := range opts.Hosts {
		if err := s.startHost(i); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// PlatformAddress returns the address of the platform's stand-ins.
func (s *System) PlatformAddress() string { return s.platform }

// serve runs an HTTP server on a free port and returns its address.
func (s *System) serve(name string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(ErrStart, err.Error())
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.mu.Lock()
	s.servers[name] = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *System) publishConfig() error {
	data, err := logfold.EncodeEntry(config.Put{
		ID: "dev-start", Base: config.NoBase, Author: "dev", Document: string(s.opts.Config),
	})
	if err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	_, err = s.Log.Append(context.Background(), logsvc.StreamConfig, "dev-start", data)
	return err
}

// startUpstreams starts the minimum number of upstreams of each service, or one
// if it sets none, all of its first version and in the zones in turn.
func (s *System) startUpstreams() {
	for _, service := range s.document.Services {
		count := 1
		if service.Hosts != nil {
			count = service.Hosts.Min
		}
		for i := range count {
			zone := s.document.AvailabilityZones[i%len(s.document.AvailabilityZones)].Name
			s.startUpstream(cloud.StartRequest{
				ID: fmt.Sprintf("%s-%d", service.Name, i), Service: service.Name,
				Version: service.Versions[0].Name, Zone: zone, Class: document.Reclaimable,
			})
		}
	}
}

// startUpstream starts a stand-in upstream and adds it to the host list.
func (s *System) startUpstream(req cloud.StartRequest) {
	service := s.document.Service(req.Service)
	if service == nil {
		return
	}
	var handler http.Handler
	s.mu.Lock()
	seed := s.opts.Seed + uint64(len(s.Engines)+len(s.Plains))
	if service.Kind == document.KindEngine {
		e := standin.NewEngine(s.engineOptions(service, req.Version, seed))
		s.Engines[req.ID] = e
		handler = standin.EngineHandler(e)
	} else {
		p := standin.NewPlain(req.ID, s.Store, plainDelay, seed)
		s.Plains[req.ID] = p
		handler = standin.PlainHandler(p)
	}
	s.mu.Unlock()
	address, err := s.serve(req.ID, handler)
	if err != nil {
		return
	}
	s.List.Put(hostlist.Host{
		ID: req.ID, Role: hostlist.RoleUpstream, Address: address, Zone: req.Zone,
		Class: req.Class, Service: req.Service, Version: req.Version,
	})
}

func (s *System) engineOptions(service *document.Service, version string, seed uint64) standin.EngineOptions {
	opts := standin.EngineOptions{
		Version: version, Slots: service.Upstream.MaxInFlight, ColdSlots: service.Upstream.ColdInFlight,
		ChecksFencing: service.Upstream.ChecksFencing, Seed: seed,
	}
	if !s.opts.Instant {
		opts.ColdStart, opts.Prefill, opts.Between = engineColdStart, enginePrefill, engineTokenInterval
	}
	return opts
}

// StopUpstream stops an upstream without draining it and removes it from the host
// list.
func (s *System) StopUpstream(id string) {
	s.mu.Lock()
	server := s.servers[id]
	delete(s.servers, id)
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	s.List.Remove(id)
}

func (s *System) startHost(index int) error {
	zones := s.document.AvailabilityZones
	zone := zones[index%len(zones)]
	address := loopback
	if s.opts.Port != 0 {
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(s.opts.Port+index))
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	base := "http://" + s.platform
	set := &settings.Settings{
		Host: fmt.Sprintf("entry-%d", index), Listen: listener.Addr().String(), Address: listener.Addr().String(),
		AvailabilityZone: zone.Name, Region: zone.Region,
		Platform: settings.Platform{
			Log: base + "/log", HostList: base + "/hostlist", Cloud: base + "/cloud", Weights: base + "/weights",
		},
		Secret: s.opts.Secret, TLS: s.opts.TLS,
	}
	deps, err := Dependencies(set, s.opts.Events, s.opts.Seed+uint64(index))
	if err != nil {
		return err
	}
	h, err := host.New(set, deps)
	if err != nil {
		return err
	}
	if err := h.Start(listener); err != nil {
		return err
	}
	s.Hosts = append(s.Hosts, h)
	s.List.Put(hostlist.Host{
		ID: set.Host, Role: hostlist.RoleEntry, Address: set.Address, Zone: zone.Name, Class: document.Reclaimable,
	})
	return nil
}

// newDialer returns a dialer that authenticates its calls to peers.
func newDialer(s *settings.Settings, events *event.Logger) (*dial.HTTP, error) {
	guard := peerauth.New(s.Secret, s.TLS != nil, events)
	dialer := dial.NewHTTP(connect.WithInterceptors(guard.Interceptor()))
	if s.TLS == nil {
		return dialer, nil
	}
	source, err := tlsfiles.Load(tlsfiles.Files{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile, PeerCA: s.TLS.PeerCAFile}, events)
	if err != nil {
		return nil, err
	}
	dialer.UsePeerTLS(source.Peer)
	return dialer, nil
}

// Dependencies returns the dependencies of a host that reaches the platform,
// peers and upstreams over HTTP. Its error is tlsfiles.ErrFiles.
func Dependencies(s *settings.Settings, events *event.Logger, seed uint64) (host.Dependencies, error) {
	client := httpjson.NewCompressingClient()
	dialer, err := newDialer(s, events)
	if err != nil {
		return host.Dependencies{}, err
	}
	return host.Dependencies{
		Platform: host.Platform{
			Log:     logsvc.NewClient(s.Platform.Log, client),
			Hosts:   hostlist.NewClient(s.Platform.HostList, client),
			Cloud:   cloud.NewClient(s.Platform.Cloud, client),
			Weights: weightstore.NewClient(s.Platform.Weights, client),
		},
		Dialer: dialer,
		Events: events,
		Seed:   seed,
	}, nil
}

// AwaitReady waits until every entry host has an active configuration and its
// view holds all entry hosts and an available upstream of each service. It
// returns ErrStart if ctx ends first.
func (s *System) AwaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.ready() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ErrStart, "hosts are not ready")
		case <-ticker.C:
		}
	}
	return nil
}

func (s *System) ready() bool {
	for _, h := range s.Hosts {
		snapshot := h.Loop().Snapshot()
		if snapshot.Document == nil || len(snapshot.Hosts) < len(s.Hosts) {
			return false
		}
		for _, service := range s.document.Services {
			if !anyAvailable(snapshot.Upstreams[service.Name]) {
				return false
			}
		}
	}
	return true
}

// Close stops the system without draining it.
func (s *System) Close() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func anyAvailable(upstreams []*control.Upstream) bool {
	for _, u := range upstreams {
		if u.Available {
			return true
		}
	}
	return false
}
