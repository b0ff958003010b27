package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/view"
)

// eventually is the longest wait for a condition.
const eventually = 20 * time.Second

// observer ignores all calls.
type observer struct{}

func (observer) ConfigChanged(*catalog.Document, time.Duration) {}
func (observer) PeerUp(members.Digest)                          {}
func (observer) ViewChanged(view.Change, time.Duration)         {}
func (observer) Published(*control.Snapshot)                    {}
func (observer) SummaryMerged(*members.Summary)                 {}
func (observer) Observed([]members.Observation)                 {}
func (observer) Counted() uint64                                { return 0 }
func (observer) Digest() *members.Digest                        { return &members.Digest{} }

// Scenario: a network partition divides the hosts; each side may send to the
// same upstreams.
func TestSilentHostsCountAsSenders(t *testing.T) {
	loop := control.NewLoop("self", members.Self{Address: "10.0.0.1:7600"}, observer{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)
	loop.Submit(ctx, control.HostsFound{Complete: true})
	loop.Submit(ctx, control.DigestReceived{Digest: members.Digest{
		Host: "peer", PeerAddress: "10.0.0.2:7600", Incarnation: 1, Sequence: 1,
	}})
	require.Eventually(t, func() bool { return len(loop.Snapshot().Peers) == 1 }, eventually, time.Millisecond)
	require.Eventually(t, func() bool { return len(loop.Snapshot().Peers) == 0 }, eventually, time.Millisecond)
	require.ElementsMatch(t, []string{"self", "peer"}, loop.Snapshot().SenderNames)
	require.Equal(t, 2, loop.Snapshot().SenderCount)
}

// Guards against a host that takes itself for the only one because it knows no others.
func TestHostWithoutTheListOfHostsDoesNotKnowItsFleet(t *testing.T) {
	loop := control.NewLoop("self", members.Self{Address: "10.0.0.1:7600"}, observer{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)
	loop.Submit(ctx, control.DigestReceived{Digest: members.Digest{Host: "peer", PeerAddress: "10.0.0.2:7600", Incarnation: 1, Sequence: 1}})
	loop.Submit(ctx, control.HostsFound{Hosts: []members.ListedHost{{Name: "listed", PeerAddress: "10.0.0.3:7600"}}})
	require.Eventually(t, func() bool { return len(loop.Snapshot().Peers) == 1 }, eventually, time.Millisecond)
	require.False(t, loop.Snapshot().FleetKnown())
	require.Empty(t, loop.Snapshot().SenderNames)
	loop.Submit(ctx, control.HostsFound{Complete: true})
	require.Eventually(t, func() bool { return loop.Snapshot().FleetKnown() }, eventually, time.Millisecond)
	require.ElementsMatch(t, []string{"self", "peer", "listed"}, loop.Snapshot().SenderNames)
	require.Equal(t, 2, loop.Snapshot().LiveCount)
}
