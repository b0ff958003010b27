package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// storeSet is a set of claim stores over one log service, without hosts.
type storeSet struct {
	t      *testing.T
	log    *standin.Log
	stores map[string]*claim.Store
	work   sync.WaitGroup
	ctx    context.Context
}

func withStores(t *testing.T, test func(set *storeSet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		set := &storeSet{t: t, log: standin.NewLog(1), stores: map[string]*claim.Store{}, ctx: ctx}
		test(set)
		cancel()
		set.work.Wait()
	})
}

// start starts a store. All stores have the same hosts, so they agree on the home
// of each shard.
func (set *storeSet) start(id string) *claim.Store {
	snapshot := &control.Snapshot{
		Self:  control.Self{ID: id, Incarnation: id + "-1", Zone: id},
		Hosts: map[string]control.EntryHost{"a": {ID: "a", Zone: "a"}, "b": {ID: "b", Zone: "b"}, "c": {ID: "c", Zone: "c"}},
	}
	issuer, err := ticket.NewIssuer([]byte("secret"), id, snapshot.Self.Incarnation)
	require.NoError(set.t, err)
	store := claim.NewStore(claim.Options{
		Self: snapshot.Self, Snapshot: func() *control.Snapshot { return snapshot },
		Log: set.log, Peers: &storePeers{set, id}, Tickets: issuer,
	})
	set.stores[id] = store
	set.work.Go(func() { store.Run(set.ctx) })
	return store
}

func (set *storeSet) acquire(store *claim.Store, key string, fingerprint uint64) claim.Decision {
	ctx, cancel := context.WithTimeout(set.ctx, time.Minute)
	defer cancel()
	decision, err := store.Acquire(ctx, key, fingerprint)
	require.NoError(set.t, err)
	return decision
}

// storePeers implements claim.Peers over the other stores of a set.
type storePeers struct {
	set *storeSet
	id  string
}

var errNoPeer = errors.New("no such store")

func (p *storePeers) Keep(_ context.Context, host string, results []claim.KeyResult, retired bool) error {
	store := p.set.stores[host]
	if store == nil {
		return errNoPeer
	}
	store.Keep(p.id+"-1", results, retired, time.Now())
	return nil
}

func (p *storePeers) Outcome(ctx context.Context, host, key, incarnation string, _ time.Duration) (*claim.KeyResult, error) {
	store := p.set.stores[host]
	if store == nil {
		return nil, errNoPeer
	}
	found, _ := store.LocalResult(ctx, key, incarnation)
	return found, nil
}

func newKey(text string) string {
	return claim.Scoped(fmt.Sprintf("%d.%s", time.Now().Unix(), text), "customer")
}

var booked = request.Result{Outcome: request.Answer, Body: []byte("tray 7")}

func TestExpiredKeyIsRefused(t *testing.T) {
	withStores(t, func(set *storeSet) {
		set.log.SetRetention(30 * time.Minute)
		a := set.start("a")
		key := newKey("old")
		require.Equal(t, claim.Dispatch, set.acquire(a, key, 1).Verdict)
		a.Complete(key, booked)
		time.Sleep(3 * time.Hour)
		// Records of other keys, in all shards, cause the removal of the old entry.
		for i := range 8 * claim.ShardCount {
			require.Equal(t, claim.Dispatch, set.acquire(a, newKey(fmt.Sprint(i)), 1).Verdict)
		}
		for _, store := range []*claim.Store{a, set.start("b")} {
			decision := set.acquire(store, key, 1)
			require.Equal(t, claim.Refused, decision.Verdict)
			require.Equal(t, request.Result{Outcome: request.Unknown, Reason: request.ReasonKeyExpired}, decision.Result)
		}
	})
}

// TestLateStoreReadsCheckpoint starts a store after the records of a key expired;
// the checkpoints appended by the shard's home still contain its entry.
func TestLateStoreReadsCheckpoint(t *testing.T) {
	withStores(t, func(set *storeSet) {
		set.log.SetRetention(15 * time.Minute)
		a := set.start("a")
		set.start("c")
		key := newKey("kept")
		for i := 0; a.HomeHost(key) != "c"; i++ {
			key = newKey(fmt.Sprint(i))
		}
		require.Equal(t, claim.Dispatch, set.acquire(a, key, 1).Verdict)
		a.Complete(key, booked)
		time.Sleep(40 * time.Minute)
		clear(set.stores)
		require.Equal(t, claim.Decision{Verdict: claim.Stored, Result: booked}, set.acquire(set.start("b"), key, 1))
	})
}

// TestStoreWithoutHistoryRefuses starts a store after the claim of a key expired
// and no checkpoint contains it. The store must refuse the key.
func TestStoreWithoutHistoryRefuses(t *testing.T) {
	withStores(t, func(set *storeSet) {
		ctx := set.ctx
		key := newKey("lost")
		run, cancel := context.WithCancel(ctx)
		set.ctx = run
		require.Equal(t, claim.Dispatch, set.acquire(set.start("a"), key, 1).Verdict)
		cancel()
		set.work.Wait()
		set.ctx = ctx
		delete(set.stores, "a")
		set.log.SetRetention(time.Minute)
		time.Sleep(10 * time.Minute)
		b := set.start("b")
		require.Equal(t, request.Unknown, set.acquire(b, key, 1).Result.Outcome)
		time.Sleep(time.Minute)
		require.Equal(t, claim.Refused, set.acquire(b, key, 1).Verdict)
	})
}

func TestKeyWithOtherFingerprintIsRefused(t *testing.T) {
	withStores(t, func(set *storeSet) {
		a, b := set.start("a"), set.start("b")
		conflict := request.Result{Outcome: request.NotRun, Reason: request.ReasonClaimedBefore}
		for _, key := range []string{newKey("clash"), claim.Scoped(a.IssueTicket(time.Now()), "customer")} {
			require.Equal(t, claim.Dispatch, set.acquire(a, key, 1).Verdict)
			require.Equal(t, conflict, set.acquire(a, key, 2).Result)
			a.Complete(key, booked)
			time.Sleep(time.Second)
			require.Equal(t, conflict, set.acquire(b, key, 2).Result)
			require.Equal(t, booked, set.acquire(b, key, 1).Result)
		}
	})
}

// TestRetireEndsOpenCalls retires a store while one of its calls runs: no other
// store may run that call again, and a ticket it never dispatched is known not to
// have run. Other stores read this from the log service alone or, during an outage
// of it, from peers alone.
func TestRetireEndsOpenCalls(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		withStores(t, func(set *storeSet) {
			a, b := set.start("a"), set.start("b")
			set.start("c")
			running, unused := newKey("running"), claim.Scoped(a.IssueTicket(time.Now()), "customer")
			ran := claim.Scoped(a.IssueTicket(time.Now()), "customer")
			require.Equal(t, claim.Dispatch, set.acquire(a, running, 1).Verdict)
			require.Equal(t, claim.Dispatch, set.acquire(a, ran, 1).Verdict)
			a.Complete(ran, booked)
			set.log.SetDown(logDown)
			if !logDown {
				clear(set.stores)
			}
			ctx, cancel := context.WithTimeout(set.ctx, 3*time.Second)
			defer cancel()
			require.Equal(t, logDown, a.Retire(ctx) != nil)
			delete(set.stores, "a")
			lookup := func(key string) *request.Result { return b.Lookup(set.ctx, key) }
			require.Equal(t, request.Unknown, lookup(running).Outcome)
			require.Equal(t, request.NotRun, lookup(unused).Outcome)
			require.Equal(t, booked, *lookup(ran))
			require.Equal(t, request.NotRun, set.acquire(a, unused, 1).Result.Outcome)
			if !logDown {
				require.Equal(t, request.Unknown, set.acquire(b, running, 1).Result.Outcome)
			}
		})
	}
}

// TestUnconfirmedClaimIsReleased claims a key while the responses of appends are
// lost; the key must not stay held by a store that never runs it.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	withStores(t, func(set *storeSet) {
		a, b := set.start("a"), set.start("b")
		set.log.LoseResponses(1)
		key := newKey("limbo")
		decision := set.acquire(a, key, 1)
		require.Equal(t, request.Result{Outcome: request.Unknown, Reason: request.ReasonLogDown}, decision.Result)
		set.log.LoseResponses(0)
		time.Sleep(5 * time.Second)
		require.Equal(t, claim.Dispatch, set.acquire(b, key, 1).Verdict)
	})
}
