package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// homeInterval is the time between two checks of which shards have this host as
// their home.
const homeInterval = 5 * time.Second

// homeHost returns the host that reads a shard continuously, chosen by rendezvous
// hashing over the live hosts. It is safe for two hosts to both consider
// themselves the home, since only the log grants rights.
func homeHost(snapshot *control.Snapshot, index int) string {
	candidates := make([]string, 0, len(snapshot.Hosts))
	for id, host := range snapshot.Hosts {
		if !host.Leaving {
			candidates = append(candidates, id)
		}
	}
	return rendezvous.First(strconv.Itoa(index), candidates)
}

// maintainHomeShards keeps the shards whose home is this host read, and appends
// their checkpoints when they are due.
func (s *Store) maintainHomeShards(ctx context.Context, work *sync.WaitGroup, now time.Time) {
	snapshot := s.snapshot()
	for index := range ShardCount {
		isHome := homeHost(snapshot, index) == s.self.ID
		sh := s.shardAt(index, isHome)
		if sh == nil {
			continue
		}
		sh.mu.Lock()
		sh.pinned = isHome
		due := isHome && sh.checkpointDue(now)
		sh.mu.Unlock()
		if due {
			work.Go(func() { sh.checkpoint(ctx) })
		}
	}
	s.startWork(ctx, work)
}
