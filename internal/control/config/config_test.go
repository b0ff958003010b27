package config_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/deploy"
	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

func text(t testing.TB) string {
	src, err := deploy.Config("fundacion")
	require.NoError(t, err)
	return string(src)
}

func record(t require.TestingT, offset int64, entry any) logsvc.Record {
	data, err := logfold.EncodeEntry(entry)
	require.NoError(t, err)
	return logsvc.Record{Offset: offset, Data: data}
}

func TestStaleAndInvalidEntriesAreIgnored(t *testing.T) {
	first := text(t)
	second := strings.Replace(first, `"maxTokens": 120`, `"maxTokens": 121`, 1)
	fold := logfold.New(config.Apply)
	fold.ApplyRecord(record(t, 0, config.Put{ID: "a", Base: config.NoBase, Document: first}))
	fold.ApplyRecord(record(t, 1, config.Put{ID: "b", Base: 0, Document: second}))
	fold.ApplyRecord(record(t, 2, config.Put{ID: "late", Base: 0, Document: first}))
	fold.ApplyRecord(record(t, 3, config.Put{ID: "again", Base: config.NoBase, Document: first}))
	fold.ApplyRecord(record(t, 4, config.Put{ID: "invalid", Base: 1, Document: "{}"}))
	require.Equal(t, int64(1), fold.State().Offset)
	require.Equal(t, "b", fold.State().Put.ID)
}

// TestPatchAndWholeDocumentAgree checks that the active text after a patch is
// the one that the operator wrote. The texts differ in values only, not in
// comments.
func TestPatchAndWholeDocumentAgree(t *testing.T) {
	first := text(t)
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.SampledFrom([]string{"1", "77", "2000"}).Draw(t, "tokens")
		state := rapid.SampledFrom([]string{"in", "out"}).Draw(t, "state")
		second := strings.Replace(first, `"maxTokens": 120`, `"maxTokens": `+tokens, 1)
		second = strings.Replace(second, `"state": "in"`, `"state": "`+state+`"`, 1)
		put, err := config.NewPut("p", 0, "", first, second)
		require.NoError(t, err)
		require.Empty(t, put.Document)
		fold := logfold.New(config.Apply)
		fold.ApplyRecord(record(t, 0, config.Put{ID: "a", Base: config.NoBase, Document: first}))
		fold.ApplyRecord(record(t, 1, put))
		require.Equal(t, second, fold.State().Put.Document)
	})
}

// TestOlderDocumentFromPeerIsIgnored checks that the active offset never falls
// when records and delayed responses of peers arrive in any order.
func TestOlderDocumentFromPeerIsIgnored(t *testing.T) {
	document := text(t)
	rapid.Check(t, func(t *rapid.T) {
		var m config.Machine
		m.Init(control.Self{ID: "entry-0"})
		next, highest := int64(0), int64(config.NoBase)
		for range rapid.IntRange(1, 20).Draw(t, "inputs") {
			var in control.Input
			if rapid.Bool().Draw(t, "record") {
				in = control.Record{
					Stream: logsvc.StreamConfig,
					Record: record(t, next, config.Put{Base: next - 1, Document: document}),
				}
				next++
			} else {
				response := &peerv1.ConfigDocument{Offset: rapid.Int64Range(0, 20).Draw(t, "offset"), Document: []byte(document)}
				in = control.MessageReceived{From: "entry-1", Message: &peerv1.Message{Body: &peerv1.Message_Config{Config: response}}}
			}
			m.Step(time.Unix(0, 0), in)
			var snapshot control.Snapshot
			m.Publish(time.Unix(0, 0), &snapshot)
			require.GreaterOrEqual(t, snapshot.Offset, highest)
			highest = snapshot.Offset
		}
	})
}

func bedOptions(t testing.TB) testbed.Options {
	return testbed.Options{
		Config: []byte(text(t)), Hosts: 4, Seed: 3,
		Engine: standin.EngineOptions{Between: 20 * time.Millisecond},
	}
}

// offsets returns the offset of the active configuration of each host.
func offsets(bed *testbed.Cluster) []int64 {
	var all []int64
	for _, n := range bed.Nodes {
		all = append(all, n.Loop().Snapshot().Offset)
	}
	return all
}

// activeOffset folds the whole log and returns the offset of the active document.
func activeOffset(t testing.TB, bed *testbed.Cluster) int64 {
	page, err := bed.Log.Read(context.Background(), logsvc.StreamConfig, 0, 1000, 0)
	require.NoError(t, err)
	fold := logfold.New(config.Apply)
	for _, rec := range page.Records {
		fold.ApplyRecord(rec)
	}
	return fold.State().Offset
}

func TestHostStartedInALogOutageGetsConfigFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := testbed.Start(t, bedOptions(t))
		defer bed.Close()
		changed := strings.Replace(text(t), `"maxTokens": 120`, `"maxTokens": 99`, 1)
		bed.Publish(0, []byte(changed))
		time.Sleep(3 * time.Second)
		require.Equal(t, []int64{1, 1, 1, 1}, offsets(bed))

		bed.Log.SetDown(true)
		late := bed.StartNode("entry-9", "gt-b")
		time.Sleep(10 * time.Second)
		require.Equal(t, int64(1), late.Loop().Snapshot().Offset)
	})
}

func TestHostStartedAfterRetentionReadsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := testbed.Start(t, bedOptions(t))
		defer bed.Close()
		bed.Log.SetRetention(15 * time.Minute)
		time.Sleep(40 * time.Minute)
		_, err := bed.Log.Read(context.Background(), logsvc.StreamConfig, 0, 1, 0)
		require.Error(t, err, "the first record is still retained")
		for _, n := range bed.Nodes {
			n.Kill()
		}
		late := bed.StartNode("entry-9", "gt-b")
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(0), late.Loop().Snapshot().Offset)
	})
}

// schedules is the number of random schedules, one for each seed, that
// TestConfigurationNeverReverts runs.
const schedules = 20

// TestConfigurationNeverReverts checks that the offset of no host falls while
// the log goes down and up, hosts restart or pause and operators publish
// concurrently, and that all hosts agree with the log afterwards.
func TestConfigurationNeverReverts(t *testing.T) {
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			bed := testbed.Start(t, bedOptions(t))
			defer bed.Close()
			highest := map[*testbed.Node]int64{}
			down := false
			for range 3 + random.IntN(5) {
				n := bed.Nodes[random.IntN(4)]
				switch random.IntN(4) {
				case 0:
					down = !down
					bed.Log.SetDown(down)
				case 1:
					if !down {
						base := n.Loop().Snapshot().Offset
						bed.Publish(base, []byte(strings.Replace(text(t), `"share": 4`, `"share": 5`, 1)))
						bed.Publish(base, []byte(text(t)))
					}
				case 2:
					n.Kill()
					bed.StartNode(n.Self().ID, n.Self().Zone)
				case 3:
					n.Pause()
				}
				time.Sleep(4 * time.Second)
				n.Resume()
				for _, n := range bed.Nodes {
					offset := n.Loop().Snapshot().Offset
					if before, seen := highest[n]; seen {
						require.GreaterOrEqual(t, offset, before, "seed %d", seed)
					}
					highest[n] = offset
				}
			}
			bed.Log.SetDown(false)
			time.Sleep(10 * time.Second)
			want := activeOffset(t, bed)
			for _, n := range bed.Live() {
				require.Equal(t, want, n.Loop().Snapshot().Offset, "seed %d", seed)
			}
		})
	}
}
