package relay_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// fleet returns hosts in four zones that all receive one another's digests.
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

// sources returns the reader that each host follows, "" for the log.
func sources(hosts []relay.Host) map[string]string {
	readerOf := map[string]string{}
	for i, h := range hosts {
		source := relay.NewSourceSelector(h).Select(others(hosts, i), h.ViewAge, time.Minute)
		readerOf[h.Address] = source.Reader
	}
	return readerOf
}

func TestFewHostsReadForAll(t *testing.T) {
	for count, want := range map[int]int{2: 2, 9: 2, 30: 2, 90: 2, 270: 5, 710: 12} {
		readers, load := 0, map[string]int{}
		readerOf := sources(fleet(count))
		for _, source := range readerOf {
			if source == "" {
				readers++
				continue
			}
			load[source]++
		}
		require.Equal(t, want, readers, "%d hosts", count)
		for reader, followers := range load {
			require.Empty(t, readerOf[reader], "only readers are followed")
			require.LessOrEqual(t, followers, 2*count/readers, "%d hosts: no reader has more than twice its share", count)
		}
	}
}

// logSource is the source of a host that reads the log and follows no reader.
var logSource = relay.Source{ReadsLog: true}

func TestSingleHostReadsLog(t *testing.T) {
	require.Equal(t, logSource, relay.NewSourceSelector(relay.Host{Address: "a", Zone: "z"}).Select(nil, 0, time.Minute))
}

// Scenario: all hosts restart at the same time. Those of a small fleet read the log
// until they have a view; those of a larger one wait for their reader at first.
func TestNewHostsFollowAsSoonAsTheyHaveAView(t *testing.T) {
	self, peers, reader := follower(t, fleet(9))
	s := relay.NewSourceSelector(self)
	require.True(t, s.Select(peers, time.Hour, time.Minute).ReadsLog, "nothing is known yet")
	require.Equal(t, relay.Source{Reader: reader}, s.Select(peers, 0, time.Minute+100*time.Millisecond))

	self, peers, reader = follower(t, fleet(90))
	s = relay.NewSourceSelector(self)
	require.Equal(t, relay.Source{Reader: reader}, s.Select(peers, time.Hour, time.Minute))
	require.True(t, s.Select(peers, time.Hour, time.Minute+time.Second).ReadsLog, "the reader has no view")
	require.Equal(t, relay.Source{Reader: reader}, s.Select(peers, 0, time.Minute+1100*time.Millisecond))
	require.True(t, s.Select(peers, time.Hour, time.Minute+1200*time.Millisecond).ReadsLog, "it waits only for the first view")
}

// TestStrongHostsRead checks that hosts that can carry more read for the others.
func TestStrongHostsRead(t *testing.T) {
	hosts := fleet(195)
	for i := range hosts {
		hosts[i].Strength = 0.2
		if i%11 == 0 {
			hosts[i].Strength = 0.8
		}
	}
	for address, reader := range sources(hosts) {
		i := slices.IndexFunc(hosts, func(h relay.Host) bool { return h.Address == cmp.Or(reader, address) })
		require.InDelta(t, 0.8, hosts[i].Strength, 0)
	}
}

// follower returns a host of a fleet that follows a reader, its peers and its
// reader.
func follower(t *testing.T, hosts []relay.Host) (relay.Host, []relay.Host, string) {
	readerOf := sources(hosts)
	for i, h := range hosts {
		if readerOf[h.Address] != "" {
			return h, others(hosts, i), readerOf[h.Address]
		}
	}
	t.Fatal("no host follows a reader")
	return relay.Host{}, nil, ""
}

// Scenario: the reader is killed.
func TestAnotherReaderIsSelectedWhenOneFails(t *testing.T) {
	self, peers, reader := follower(t, fleet(9))
	s := relay.NewSourceSelector(self)
	require.Equal(t, relay.Source{Reader: reader}, s.Select(peers, 0, time.Minute))
	s.MarkFailed(reader, time.Minute)
	second := s.Select(peers, 0, time.Minute)
	require.False(t, second.ReadsLog)
	require.NotEqual(t, reader, second.Reader)
	s.MarkFailed(second.Reader, time.Minute)
	require.Equal(t, logSource, s.Select(peers, 0, time.Minute), "with no reader left it reads the log")
	require.Equal(t, reader, s.Select(peers, 0, time.Minute+4*time.Second).Reader)
}

// Scenario: the reader is cut off from the log and still responds.
func TestStaleFollowersReadLogAndAvoidTheReader(t *testing.T) {
	hosts := fleet(9)
	self, peers, reader := follower(t, hosts)
	s := relay.NewSourceSelector(self)
	require.Equal(t, relay.Source{Reader: reader}, s.Select(peers, 1200*time.Millisecond, time.Minute))
	require.True(t, s.Select(peers, 1400*time.Millisecond, time.Minute).ReadsLog)
	require.True(t, s.Select(peers, 0, time.Minute+2*time.Second).ReadsLog)
	for i := range peers {
		if peers[i].Address == reader {
			peers[i].ViewAge = 2 * time.Second
		}
	}
	after := s.Select(peers, 0, time.Minute+4*time.Second)
	require.NotEqual(t, reader, after.Reader)
	require.Equal(t, after.Reader == "", after.ReadsLog)
}

// Scenario: the readers of a larger fleet are cut off from the log. Few others read it
// first, and all do when those bring nothing.
func TestFewHostsReadTheLogWhenReadersAreCutOff(t *testing.T) {
	hosts := fleet(195)
	selectors := make([]*relay.SourceSelector, len(hosts))
	for i, h := range hosts {
		selectors[i] = relay.NewSourceSelector(h)
	}
	now := time.Minute
	// step lets all hosts select a source with a view of an age, and returns who reads
	// the log and how many hosts follow each host.
	step := func(age time.Duration) (reading map[string]bool, followers map[string]int) {
		reading, followers = map[string]bool{}, map[string]int{}
		for i, h := range hosts {
			source := selectors[i].Select(others(hosts, i), age, now)
			if source.ReadsLog {
				reading[h.Address] = true
			} else {
				followers[source.Reader]++
			}
		}
		now += 100 * time.Millisecond
		return reading, followers
	}
	readers, _ := step(0)
	require.Len(t, readers, 4)
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{1400 * time.Millisecond, 8}, {1800 * time.Millisecond, 8}, {100 * time.Millisecond, 12}} {
		reading, followers := step(c.age)
		require.Len(t, reading, c.want, "view of age %s: backups, and readers with a fresh view", c.age)
		for backup, count := range followers {
			require.True(t, reading[backup])
			require.False(t, readers[backup])
			require.LessOrEqual(t, count, 60)
		}
	}
	now += 3 * time.Second
	reading, _ := step(100 * time.Millisecond)
	require.Equal(t, readers, reading, "readers are followed again")

	step(1400 * time.Millisecond)
	reading, _ = step(2 * time.Second)
	require.Len(t, reading, len(hosts))
	reading, _ = step(100 * time.Millisecond)
	require.Len(t, reading, len(hosts), "the backups were cut off too: hosts read for themselves for a while")
	now += 3 * time.Second
	reading, _ = step(100 * time.Millisecond)
	require.Equal(t, readers, reading)
}

// Scenario: the log is down. If each of ninety hosts tried as often as a
// reader, all of these calls would fail and still be paid for.
func TestReadersStayTheSameWhileNoViewIsFresh(t *testing.T) {
	hosts := fleet(90)
	before := sources(hosts)
	for i := range hosts {
		hosts[i].ViewAge = 2 * time.Second
	}
	require.Equal(t, before, sources(hosts))
}
