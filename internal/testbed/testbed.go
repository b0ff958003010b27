// Package testbed runs several entry hosts with in-process upstreams and
// platform services and without sockets, so that tests can run them under
// testing/synctest.
package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

var _ dial.Dialer = (*dialer)(nil)
