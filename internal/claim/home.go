package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// homeInterval is the time between two checks of which shards are at home here.
const homeInterval = 5 * time.Second

// home returns the host at which a shard is read all the time, by rendezvous
// hashing over the live hosts. Two hosts that both take themselves for it do
// no harm: rights come from the log alone.
func home(snapshot *control.Snapshot, index int) string {
	candidates := make([]string, 0, len(snapshot.Hosts))
	for id, host := range snapshot.Hosts {
		if !host.Leaving {
			candidates = append(candidates, id)
		}
	}
	return rendezvous.First(strconv.Itoa(index), candidates)
}

// keepHome keeps the shards of this host read and their checkpoints fresh.
func (s *Store) keepHome(ctx context.Context, work *sync.WaitGroup, now time.Time) {
	snapshot := s.snapshot()
	for index := range Shards {
		mine := home(snapshot, index) == s.self.ID
		sh := s.shardAt(index, mine)
		if sh == nil {
			continue
		}
		sh.mu.Lock()
		sh.pinned = mine
		due := mine && sh.checkpointDue(now)
		sh.mu.Unlock()
		if due {
			work.Go(func() { sh.checkpoint(ctx) })
		}
	}
	s.startWork(ctx, work)
}
