// Package testbed runs several entry hosts with in-process upstreams and
// platform services and without sockets, so that tests can run them under
// testing/synctest.
package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/host"
	"github.com/marigoldmux/marigoldmux/internal/logfold"

	// The hosts under test have all modules.
	_ "github.com/marigoldmux/marigoldmux/internal/modules"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/settings"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
	"github.com/marigoldmux/marigoldmux/internal/upstream/plain"
)

// errUnreachable is returned by calls to or from a dead or partitioned host.
var errUnreachable = errors.New("host unreachable")

// Options describes a cluster.
type Options struct {
	Config []byte
	Hosts  int
	Seed   uint64
	// ListLag is the time after which changes show in the host list.
	ListLag time.Duration
	// Engine is the template of the engines; version, slots, cold slots, fencing and
	// seed are set for each engine.
	Engine standin.EngineOptions
	// PlainDelay is the duration of a call to a plain service.
	PlainDelay time.Duration
	// StartHosts makes the cloud API start upstreams; otherwise it accepts start
	// requests without effect.
	StartHosts bool
	// Secret is the deployment's shared secret.
	Secret []byte
	// Modules holds the options of modules by their ID.
	Modules map[string]json.RawMessage
}

// Cluster is a running set of entry hosts, upstreams and platform services.
type Cluster struct {
	Log     *standin.Log
	List    *standin.Hosts
	Cloud   *standin.Cloud
	Weights *standin.Weights
	Store   *standin.PlainStore
	Engines map[string]*standin.Engine
	Plains  map[string]*standin.Plain
	Nodes   []*Node

	t        testing.TB
	opts     Options
	document *document.Document

	mu         sync.Mutex
	partitions map[[2]string]bool
}

// Node is one entry host of a cluster.
type Node struct {
	*host.Host
	cluster *Cluster

	mu      sync.Mutex
	dead    bool
	resumed chan struct{}
	// logDown is set while this host cannot reach the log service.
	logDown bool
	// lifetime is cancelled when the host is killed or stopped.
	lifetime context.Context
	cancel   context.CancelFunc
}

// Start starts a cluster and returns when all hosts have the configuration and
// list each other. It must be called inside a synctest bubble; the test must
// call Close before the bubble ends.
func Start(t testing.TB, opts Options) *Cluster {
	t.Helper()
	doc, err := document.Parse(opts.Config)
	require.NoError(t, err)
	b := &Cluster{
		Log:     standin.NewLog(opts.Seed),
		List:    standin.NewHosts(opts.ListLag),
		Cloud:   standin.NewCloud(nil, nil),
		Weights: standin.NewWeights(0),
		Store:   standin.NewPlainStore(),
		Engines: map[string]*standin.Engine{},
		Plains:  map[string]*standin.Plain{},
		t:       t, opts: opts, document: doc,
		partitions: map[[2]string]bool{},
	}
	if opts.StartHosts {
		b.Cloud = standin.NewCloud(b.startFromCloud, b.List.Remove)
	}
	b.startUpstreams()
	b.Publish(config.NoBase, opts.Config)
	for i := range opts.Hosts {
		b.StartNode(fmt.Sprintf("entry-%d", i), doc.AvailabilityZones[i%len(doc.AvailabilityZones)].Name)
	}
	time.Sleep(opts.ListLag + 3*time.Second)
	for _, n := range b.Nodes {
		require.NotNil(t, n.Loop().Snapshot().Document, "host has no configuration")
		require.Len(t, n.Loop().Snapshot().Hosts, opts.Hosts)
	}
	return b
}

// Publish appends a configuration to the log, based on the one at offset base.
func (b *Cluster) Publish(base int64, text []byte) {
	b.t.Helper()
	id := fmt.Sprintf("publish-%d-%d", base, time.Now().UnixNano())
	data, err := logfold.EncodeEntry(config.Put{ID: id, Base: base, Document: string(text)})
	require.NoError(b.t, err)
	_, err = b.Log.Append(context.Background(), logsvc.StreamConfig, id, data)
	require.NoError(b.t, err)
}

func (b *Cluster) startUpstreams() {
	seed := b.opts.Seed
	for _, service := range b.document.Services {
		count := 1
		if service.Hosts != nil {
			count = service.Hosts.Min
		}
		for i := range count {
			seed++
			id := fmt.Sprintf("%s-%d", service.Name, i)
			zone := b.document.AvailabilityZones[i%len(b.document.AvailabilityZones)].Name
			b.AddUpstream(id, &service, service.Versions[0].Name, zone, seed)
		}
	}
}

// AddUpstream starts an upstream and adds it to the host list. Its address is
// its ID.
func (b *Cluster) AddUpstream(id string, service *document.Service, version, zone string, seed uint64) {
	b.addUpstream(id, service, version, zone, document.Reclaimable, seed)
}

// startFromCloud starts the upstream of a start request to the cloud API.
func (b *Cluster) startFromCloud(req cloud.StartRequest) {
	service := b.document.Service(req.Service)
	b.addUpstream(req.ID, service, req.Version, req.Zone, req.Class, b.opts.Seed)
}

func (b *Cluster) addUpstream(id string, service *document.Service, version, zone string, class document.HostClass, seed uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if service.Kind == document.KindEngine {
		opts := b.opts.Engine
		opts.Version = version
		opts.Slots = service.Upstream.MaxInFlight
		opts.ColdSlots = service.Upstream.ColdInFlight
		opts.ChecksFencing = service.Upstream.ChecksFencing
		opts.Seed = seed
		b.Engines[id] = standin.NewEngine(opts)
	} else {
		b.Plains[id] = standin.NewPlain(id, b.Store, b.opts.PlainDelay, seed)
	}
	b.List.Put(hostlist.Host{
		ID: id, Role: hostlist.RoleUpstream, Address: id, Zone: zone,
		Class: class, Service: service.Name, Version: version,
	})
}

// StartNode starts an entry host; the ID may be that of a killed host.
func (b *Cluster) StartNode(id, zone string) *Node {
	b.t.Helper()
	n := &Node{cluster: b}
	n.lifetime, n.cancel = context.WithCancel(context.Background())
	s := &settings.Settings{
		Host: id, Listen: id, Address: id, AvailabilityZone: zone,
		Region: b.document.Zone(zone).Region, Secret: b.opts.Secret, Modules: b.opts.Modules,
	}
	h, err := host.New(s, host.Dependencies{
		Platform: host.Platform{Log: &gatedLog{n}, Hosts: b.List, Cloud: b.Cloud, Weights: b.Weights},
		Dialer:   &dialer{n},
		Events:   event.Discard(),
		Seed:     b.opts.Seed,
	})
	require.NoError(b.t, err)
	n.Host = h
	b.mu.Lock()
	b.Nodes = append(b.Nodes, n)
	b.mu.Unlock()
	require.NoError(b.t, h.StartControl())
	b.List.Put(hostlist.Host{ID: id, Role: hostlist.RoleEntry, Address: id, Zone: zone, Class: document.Reclaimable})
	return n
}

// Live returns the entry hosts that were neither killed nor stopped.
func (b *Cluster) Live() []*Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var live []*Node
	for _, n := range b.Nodes {
		if !n.isDead() {
			live = append(live, n)
		}
	}
	return live
}

// Close kills all hosts.
func (b *Cluster) Close() {
	for _, n := range b.Nodes {
		n.Kill()
	}
}

// Living returns the entry hosts that were neither killed nor stopped.
func (b *Cluster) Living() []*Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var living []*Node
	for _, n := range b.Nodes {
		if !n.isDead() {
			living = append(living, n)
		}
	}
	return living
}

// SetPartition cuts or restores the link between two entry hosts in both
// directions.
func (b *Cluster) SetPartition(from, to string, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partitions[[2]string{from, to}] = cut
	b.partitions[[2]string{to, from}] = cut
}

// reachable returns the live host with the ID to if host from can reach it.
func (b *Cluster) reachable(from, to string) (*Node, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.partitions[[2]string{from, to}] {
		return nil, errUnreachable
	}
	for _, n := range b.Nodes {
		if n.Self().ID == to && !n.isDead() {
			return n, nil
		}
	}
	return nil, errUnreachable
}

// Kill ends the host without a drain; the connections of its callers, peers and
// upstreams break.
func (n *Node) Kill() {
	n.mu.Lock()
	dead := n.dead
	n.dead = true
	n.mu.Unlock()
	if !dead {
		n.cancel()
		n.Resume()
		n.Host.Kill()
	}
}

// Stop stops the host gracefully.
func (n *Node) Stop(ctx context.Context) error {
	err := n.Host.Stop(ctx)
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.cancel()
	return err
}

// done returns a context that is cancelled when the host is killed or stopped.
func (n *Node) done() context.Context { return n.lifetime }

func (n *Node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// Pause blocks the host's incoming calls and its calls to the log service, peers
// and upstreams (only Generate, Next and Call) until Resume is called.
func (n *Node) Pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

// Resume ends a pause.
func (n *Node) Resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// SetLogUnreachable cuts or restores the link from this host to the log service.
func (n *Node) SetLogUnreachable(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logDown = down
}

func (n *Node) logUnreachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logDown
}

// gate blocks while the host is paused. It fails if the host is dead or if ctx
// ends during the pause.
func (n *Node) gate(ctx context.Context) error {
	n.mu.Lock()
	resumed, dead := n.resumed, n.dead
	n.mu.Unlock()
	if dead {
		return errUnreachable
	}
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return n.gate(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do sends an HTTP request to the host and returns the complete response, or an
// empty recorder if the host is dead or ctx ends during a pause.
func (n *Node) Do(ctx context.Context, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	if n.gate(ctx) == nil {
		n.Handler().ServeHTTP(recorder, req)
	}
	return recorder
}

// gatedLog is the log service as seen by one host.
type gatedLog struct{ n *Node }

func (l *gatedLog) Append(ctx context.Context, stream, id string, data []byte) (int64, error) {
	if l.n.gate(ctx) != nil || l.n.logUnreachable() {
		return 0, logsvc.ErrUnavailable
	}
	return l.n.cluster.Log.Append(ctx, stream, id, data)
}

func (l *gatedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error) {
	if l.n.gate(ctx) != nil || l.n.logUnreachable() {
		return logsvc.Page{}, logsvc.ErrUnavailable
	}
	page, err := l.n.cluster.Log.Read(ctx, stream, from, limit, wait)
	if l.n.logUnreachable() {
		return logsvc.Page{}, logsvc.ErrUnavailable
	}
	return page, err
}

// dialer creates the clients of one host.
type dialer struct{ n *Node }

var _ dial.Dialer = (*dialer)(nil)

// Engine implements dial.Dialer.
func (d *dialer) Engine(address string) engine.Engine {
	d.n.cluster.mu.Lock()
	defer d.n.cluster.mu.Unlock()
	return &gatedEngine{Engine: d.n.cluster.Engines[address], n: d.n}
}

// Plain implements dial.Dialer.
func (d *dialer) Plain(address string) plain.Service {
	d.n.cluster.mu.Lock()
	defer d.n.cluster.mu.Unlock()
	return &gatedPlain{Service: d.n.cluster.Plains[address], n: d.n}
}

// Peer implements dial.Dialer.
func (d *dialer) Peer(address string) peerv1connect.PeerServiceClient {
	return &peerClient{node: d.n, to: address}
}

type gatedEngine struct {
	engine.Engine
	n *Node
}

// Generate implements engine.Engine.
func (e *gatedEngine) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	if err := e.n.gate(ctx); err != nil {
		return nil, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	stream, err := e.Engine.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	return &gatedStream{Stream: stream, n: e.n, ctx: ctx}, nil
}

type gatedStream struct {
	engine.Stream
	n   *Node
	ctx context.Context
}

// Next implements engine.Stream.
func (s *gatedStream) Next() (engine.Chunk, error) {
	if err := s.n.gate(s.ctx); err != nil {
		return engine.Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: err}
	}
	return s.Stream.Next()
}

type gatedPlain struct {
	plain.Service
	n *Node
}

// Call implements plain.Service.
func (p *gatedPlain) Call(ctx context.Context, call plain.Call) (plain.Response, error) {
	if err := p.n.gate(ctx); err != nil {
		return plain.Response{}, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	answer, err := p.Service.Call(ctx, call)
	if gateErr := p.n.gate(ctx); gateErr != nil {
		return plain.Response{}, &upstream.Failure{Kind: upstream.Lost, Err: gateErr}
	}
	return answer, err
}
