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

// trial is a set of claim stores over one log service, without hosts.
type trial struct {
	t      *testing.T
	log    *standin.Log
	stores map[string]*claim.Store
	work   sync.WaitGroup
	ctx    context.Context
}

func runTrial(t *testing.T, test func(tr *trial)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tr := &trial{t: t, log: standin.NewLog(1), stores: map[string]*claim.Store{}, ctx: ctx}
		test(tr)
		cancel()
		tr.work.Wait()
	})
}

// start starts a store. All stores have the same home for all shards.
func (tr *trial) start(id string) *claim.Store {
	snapshot := &control.Snapshot{
		Self:  control.Self{ID: id, Incarnation: id + "-1", Zone: id},
		Hosts: map[string]control.EntryHost{"a": {ID: "a", Zone: "a"}, "b": {ID: "b", Zone: "b"}, "c": {ID: "c", Zone: "c"}},
	}
	issuer, err := ticket.NewIssuer([]byte("secret"), id, snapshot.Self.Incarnation)
	require.NoError(tr.t, err)
	store := claim.NewStore(claim.Options{
		Self: snapshot.Self, Snapshot: func() *control.Snapshot { return snapshot },
		Log: tr.log, Peers: &trialPeers{tr, id}, Tickets: issuer,
	})
	tr.stores[id] = store
	tr.work.Go(func() { store.Run(tr.ctx) })
	return store
}

func (tr *trial) acquire(store *claim.Store, key string, fingerprint uint64) claim.Decision {
	ctx, cancel := context.WithTimeout(tr.ctx, time.Minute)
	defer cancel()
	decision, err := store.Acquire(ctx, key, fingerprint)
	require.NoError(tr.t, err)
	return decision
}

// trialPeers reaches the other stores of a trial.
type trialPeers struct {
	tr *trial
	id string
}

var errNoPeer = errors.New("no such store")

func (p *trialPeers) Keep(_ context.Context, host string, ended []claim.KeyResult, retired bool) error {
	store := p.tr.stores[host]
	if store == nil {
		return errNoPeer
	}
	store.Keep(p.id+"-1", ended, retired, time.Now())
	return nil
}

func (p *trialPeers) Outcome(ctx context.Context, host, key, incarnation string, _ time.Duration) (*claim.KeyResult, error) {
	store := p.tr.stores[host]
	if store == nil {
		return nil, errNoPeer
	}
	ended, _ := store.LocalResult(ctx, key, incarnation)
	return ended, nil
}

func newKey(text string) string {
	return claim.Scoped(fmt.Sprintf("%d.%s", time.Now().Unix(), text), "customer")
}

var booked = request.Result{Outcome: request.Answer, Body: []byte("tray 7")}

func TestOldKeyIsNotRunAgain(t *testing.T) {
	runTrial(t, func(tr *trial) {
		tr.log.SetRetention(30 * time.Minute)
		a := tr.start("a")
		key := newKey("old")
		require.Equal(t, claim.Dispatch, tr.acquire(a, key, 1).Verdict)
		a.Complete(key, booked)
		time.Sleep(3 * time.Hour)
		// Records of other keys, in all shards, make the old one forgotten.
		for i := range 8 * claim.Shards {
			require.Equal(t, claim.Dispatch, tr.acquire(a, newKey(fmt.Sprint(i)), 1).Verdict)
		}
		for _, store := range []*claim.Store{a, tr.start("b")} {
			decision := tr.acquire(store, key, 1)
			require.Equal(t, claim.Refused, decision.Verdict)
			require.Equal(t, request.Result{Outcome: request.Unknown, Reason: request.ReasonKeyExpired}, decision.Result)
		}
	})
}

// TestLateStoreKnowsFromCheckpoint starts a store after the records of a key
// expired; the checkpoints of the shard's home have carried them on.
func TestLateStoreKnowsFromCheckpoint(t *testing.T) {
	runTrial(t, func(tr *trial) {
		tr.log.SetRetention(15 * time.Minute)
		a := tr.start("a")
		tr.start("c")
		key := newKey("kept")
		for i := 0; a.HomeHost(key) != "c"; i++ {
			key = newKey(fmt.Sprint(i))
		}
		require.Equal(t, claim.Dispatch, tr.acquire(a, key, 1).Verdict)
		a.Complete(key, booked)
		time.Sleep(40 * time.Minute)
		clear(tr.stores)
		require.Equal(t, claim.Decision{Verdict: claim.Stored, Result: booked}, tr.acquire(tr.start("b"), key, 1))
	})
}

// TestStoreWithoutHistoryRefuses starts a store when the claim of a key has
// expired and nothing carried it on.
func TestStoreWithoutHistoryRefuses(t *testing.T) {
	runTrial(t, func(tr *trial) {
		ctx := tr.ctx
		key := newKey("lost")
		run, cancel := context.WithCancel(ctx)
		tr.ctx = run
		require.Equal(t, claim.Dispatch, tr.acquire(tr.start("a"), key, 1).Verdict)
		cancel()
		tr.work.Wait()
		tr.ctx = ctx
		delete(tr.stores, "a")
		tr.log.SetRetention(time.Minute)
		time.Sleep(10 * time.Minute)
		b := tr.start("b")
		require.Equal(t, request.Unknown, tr.acquire(b, key, 1).Result.Outcome)
		time.Sleep(time.Minute)
		require.Equal(t, claim.Refused, tr.acquire(b, key, 1).Verdict)
	})
}

func TestOtherContentOfAKeyIsRefused(t *testing.T) {
	runTrial(t, func(tr *trial) {
		a, b := tr.start("a"), tr.start("b")
		clash := request.Result{Outcome: request.NotRun, Reason: request.ReasonClaimedBefore}
		for _, key := range []string{newKey("clash"), claim.Scoped(a.IssueTicket(time.Now()), "customer")} {
			require.Equal(t, claim.Dispatch, tr.acquire(a, key, 1).Verdict)
			require.Equal(t, clash, tr.acquire(a, key, 2).Result)
			a.Complete(key, booked)
			time.Sleep(time.Second)
			require.Equal(t, clash, tr.acquire(b, key, 2).Result)
			require.Equal(t, booked, tr.acquire(b, key, 1).Result)
		}
	})
}

// TestRetireEndsOpenCalls retires a store while one of its calls runs: nobody
// may run that call again, and a key it never dispatched is free. The log
// service alone tells it, or while that is out the peers alone.
func TestRetireEndsOpenCalls(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		runTrial(t, func(tr *trial) {
			a, b := tr.start("a"), tr.start("b")
			tr.start("c")
			running, unused := newKey("running"), claim.Scoped(a.IssueTicket(time.Now()), "customer")
			ran := claim.Scoped(a.IssueTicket(time.Now()), "customer")
			require.Equal(t, claim.Dispatch, tr.acquire(a, running, 1).Verdict)
			require.Equal(t, claim.Dispatch, tr.acquire(a, ran, 1).Verdict)
			a.Complete(ran, booked)
			tr.log.SetDown(logDown)
			if !logDown {
				clear(tr.stores)
			}
			ctx, cancel := context.WithTimeout(tr.ctx, 3*time.Second)
			defer cancel()
			require.Equal(t, logDown, a.Retire(ctx) != nil)
			delete(tr.stores, "a")
			lookup := func(key string) *request.Result { return b.Lookup(tr.ctx, key) }
			require.Equal(t, request.Unknown, lookup(running).Outcome)
			require.Equal(t, request.NotRun, lookup(unused).Outcome)
			require.Equal(t, booked, *lookup(ran))
			require.Equal(t, request.NotRun, tr.acquire(a, unused, 1).Result.Outcome)
			if !logDown {
				require.Equal(t, request.Unknown, tr.acquire(b, running, 1).Result.Outcome)
			}
		})
	}
}

// TestClaimOfUnknownFateIsGivenUp asks for a key while the answers of appends
// are lost; the key must not stay held by a store that never runs it.
func TestClaimOfUnknownFateIsGivenUp(t *testing.T) {
	runTrial(t, func(tr *trial) {
		a, b := tr.start("a"), tr.start("b")
		tr.log.LoseAnswers(1)
		key := newKey("limbo")
		decision := tr.acquire(a, key, 1)
		require.Equal(t, request.Result{Outcome: request.Unknown, Reason: request.ReasonLogDown}, decision.Result)
		tr.log.LoseAnswers(0)
		time.Sleep(5 * time.Second)
		require.Equal(t, claim.Dispatch, tr.acquire(b, key, 1).Verdict)
	})
}
