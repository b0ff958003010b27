package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// fleet is a number of hosts over four zones that all hear one another.
func fleet(count int) []relay.Host {
	hosts := make([]relay.Host, count)
	for i := range hosts {
		hosts[i] = relay.Host{Address: fmt.Sprintf("10.0.%d.%d:7600", i%4, i), Zone: fmt.Sprint("zone-", i%4)}
	}
	return hosts
}

func others(hosts []relay.Host, i int) []relay.Host {
	return append(append([]relay.Host{}, hosts[:i]...), hosts[i+1:]...)
}

// sources returns whom each host asks, "" for the log.
func sources(hosts []relay.Host) map[string]string {
	chosen := map[string]string{}
	for i, h := range hosts {
		choice := relay.NewSourceSelector(h.Address, h.Zone).Select(others(hosts, i), h.ViewAge, time.Minute)
		chosen[h.Address] = choice.Reader
	}
	return chosen
}

func TestFewHostsReadForAll(t *testing.T) {
	for count, most := range map[int]int{2: 2, 9: 2, 30: 2, 90: 4, 270: 12} {
		readers, load := 0, map[string]int{}
		chosen := sources(fleet(count))
		for _, source := range chosen {
			if source == "" {
				readers++
				continue
			}
			load[source]++
		}
		require.Equal(t, most, readers, "%d hosts", count)
		for reader, followers := range load {
			require.Empty(t, chosen[reader], "only readers are asked")
			require.LessOrEqual(t, followers, 48, "%d hosts", count)
		}
	}
}

// reads is the choice of a host that reads the log and asks nobody.
var reads = relay.Source{ReadsLog: true}

func TestLonelyHostReads(t *testing.T) {
	require.Equal(t, reads, relay.NewSourceSelector("a", "z").Select(nil, 0, time.Minute))
}

// Load pattern: all hosts start again at the same time.
func TestNewHostsFollowAsSoonAsTheyKnowSomething(t *testing.T) {
	self, peers, reader := follower(t, fleet(90))
	c := relay.NewSourceSelector(self.Address, self.Zone)
	require.True(t, c.Select(peers, time.Hour, time.Minute).ReadsLog, "nothing is known yet")
	require.Equal(t, relay.Source{Reader: reader}, c.Select(peers, 0, time.Minute+100*time.Millisecond))
}

// follower returns a host of a fleet that follows, its peers and its reader.
func follower(t *testing.T, hosts []relay.Host) (relay.Host, []relay.Host, string) {
	chosen := sources(hosts)
	for i, h := range hosts {
		if chosen[h.Address] != "" {
			return h, others(hosts, i), chosen[h.Address]
		}
	}
	t.Fatal("nobody follows")
	return relay.Host{}, nil, ""
}

// Load pattern: the reader is killed.
func TestAnotherReaderIsAskedWhenOneFails(t *testing.T) {
	self, peers, reader := follower(t, fleet(9))
	c := relay.NewSourceSelector(self.Address, self.Zone)
	require.Equal(t, relay.Source{Reader: reader}, c.Select(peers, 0, time.Minute))
	c.MarkFailed(reader, time.Minute)
	second := c.Select(peers, 0, time.Minute)
	require.False(t, second.ReadsLog)
	require.NotEqual(t, reader, second.Reader)
	c.MarkFailed(second.Reader, time.Minute)
	require.Equal(t, reads, c.Select(peers, 0, time.Minute), "with no reader left it reads by itself")
	require.Equal(t, reader, c.Select(peers, 0, time.Minute+4*time.Second).Reader)
}

// Load pattern: the reader is cut off from the log and goes on answering.
func TestStaleFollowersReadAndShunTheReader(t *testing.T) {
	hosts := fleet(9)
	self, peers, reader := follower(t, hosts)
	c := relay.NewSourceSelector(self.Address, self.Zone)
	require.Equal(t, relay.Source{Reader: reader}, c.Select(peers, 1200*time.Millisecond, time.Minute))
	require.True(t, c.Select(peers, 1400*time.Millisecond, time.Minute).ReadsLog)
	require.True(t, c.Select(peers, 0, time.Minute+2*time.Second).ReadsLog)
	for i := range peers {
		if peers[i].Address == reader {
			peers[i].ViewAge = 2 * time.Second
		}
	}
	after := c.Select(peers, 0, time.Minute+4*time.Second)
	require.NotEqual(t, reader, after.Reader)
	require.Equal(t, after.Reader == "", after.ReadsLog)
}

// Load pattern: the log serves nobody. Each of ninety hosts that tried as often
// as a reader would make calls that all are refused and paid.
func TestReadersStayTheSameWhileNoBeliefsAreFresh(t *testing.T) {
	hosts := fleet(90)
	before := sources(hosts)
	for i := range hosts {
		hosts[i].ViewAge = 2 * time.Second
	}
	require.Equal(t, before, sources(hosts))
}
