package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/publish"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

const (
	operatorToken = "operator-token"
	teamToken     = "team-token"
)

// configText returns an example configuration with a team that owns the first
// service.
func configText(t testing.TB) string {
	src, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	text := strings.Replace(string(src), `"kind": "engine"`, `"kind": "engine", "team": "cakes"`, 1)
	end := strings.LastIndex(text, "}")
	return text[:end] + `, "teams": [{"name": "cakes", "tokenHash": "` + access.HashToken(teamToken) + `"}]}`
}

// withBed runs a test on a cluster of three hosts with one operator.
func withBed(t *testing.T, run func(t *testing.T, bed *testbed.Cluster)) { withBedOf(t, 3, run) }

func withBedOf(t *testing.T, hosts int, run func(t *testing.T, bed *testbed.Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		options, err := json.Marshal(admin.Module{Operators: []access.Account{
			{Name: "ana", Role: access.RoleOperator, TokenHash: access.HashToken(operatorToken)},
		}})
		require.NoError(t, err)
		bed := testbed.Start(t, testbed.Options{
			Config: []byte(configText(t)), Hosts: hosts, Seed: 1,
			Engine:  standin.EngineOptions{Between: time.Millisecond},
			Modules: map[string]json.RawMessage{"http.admin": options},
		})
		defer bed.Close()
		run(t, bed)
	})
}

// call sends a request with a token, decodes the response into out and returns
// the status code.
func call(t testing.TB, n *testbed.Node, token, method, path string, in, out any) int {
	body, err := json.Marshal(in)
	require.NoError(t, err)
	resp := n.Do(context.Background(), method, path, string(body), map[string]string{"Authorization": "Bearer " + token})
	if out != nil && resp.Body.Len() > 0 {
		require.NoError(t, json.Unmarshal(resp.Body.Bytes(), out), resp.Body)
	}
	return resp.Code
}

func current(t testing.TB, n *testbed.Node) admin.Config {
	var config admin.Config
	require.Equal(t, http.StatusOK, call(t, n, operatorToken, http.MethodGet, "/admin/v1/config", nil, &config))
	return config
}

func put(t testing.TB, n *testbed.Node, token string, base int64, text string) (int, admin.PutResponse) {
	var resp admin.PutResponse
	code := call(t, n, token, http.MethodPost, "/admin/v1/config", admin.Change{Base: base, Document: text}, &resp)
	return code, resp
}

func replaced(t testing.TB, text, old, by string) string {
	require.Contains(t, text, old)
	return strings.Replace(text, old, by, 1)
}

func TestFaultyDocumentIsRejectedWithAllFaults(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "inside"`)
		text = replaced(t, text, `"objective": 0.99`, `"objective": 1.5`)
		code, resp := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusUnprocessableEntity, code)
		require.Len(t, resp.Faults, 2)
		for _, fault := range resp.Faults {
			require.NotEmpty(t, fault.Path)
			require.Contains(t, strings.Split(text, "\n")[fault.Line-1], strings.TrimPrefix(fault.Path[strings.LastIndex(fault.Path, "/"):], "/"))
		}
		require.Equal(t, config, current(t, bed.Nodes[0]))
	})
}

func TestDeeplyNestedDocumentIsRejected(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		code, resp := put(t, bed.Nodes[0], operatorToken, config.Offset, strings.Repeat("[", 1_000_000))
		require.Equal(t, http.StatusUnprocessableEntity, code)
		require.Len(t, resp.Faults, 1)
		require.Contains(t, resp.Faults[0].Message, "nested")
		require.Equal(t, config, current(t, bed.Nodes[0]), "the host must keep its configuration")
	})
}

func TestChangeKeepsCommentsAndReachesEveryHost(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "out" /* flooded */`)
		code, resp := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusOK, code)
		require.Equal(t, publish.Accepted, resp.Status)
		time.Sleep(2 * time.Second)
		for _, n := range bed.Nodes {
			require.Equal(t, admin.Config{Offset: resp.Offset, Document: text}, current(t, n))
		}
		var status admin.Status
		call(t, bed.Nodes[1], operatorToken, http.MethodGet, "/admin/v1/status", nil, &status)
		require.True(t, status.Everywhere)
		require.Len(t, status.Hosts, 3)
	})
}

func TestSecondOfTwoConcurrentChangesLosesRace(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		mine := replaced(t, config.Document, `"state": "in"`, `"state": "out"`)
		theirs := replaced(t, config.Document, `"objective": 0.99`, `"objective": 0.98`)
		results := make(chan admin.PutResponse, 2)
		for i, text := range []string{mine, theirs} {
			go func() {
				_, resp := put(t, bed.Nodes[i], operatorToken, config.Offset, text)
				results <- resp
			}()
		}
		first, second := <-results, <-results
		if first.Status != publish.Accepted {
			first, second = second, first
		}
		require.Equal(t, publish.Accepted, first.Status)
		require.Equal(t, publish.LostRace, second.Status)
		require.Equal(t, first.Offset, second.Current.Offset)
		require.Contains(t, []string{mine, theirs}, second.Current.Document)
	})
}

func TestChangeDuringLogOutageIsNotAccepted(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "out"`)
		bed.Log.SetDown(true)
		code, resp := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Equal(t, publish.NotAccepted, resp.Status)
		require.Contains(t, resp.Detail, "nothing was accepted")

		bed.Log.SetDown(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, config, current(t, bed.Nodes[0]), "a change that was not accepted must not become active later")
	})
}

// TestPutWithLostAppendResponseIsAccepted loses the response to every append,
// although the append takes effect: the outcome must come from reading the log.
func TestPutWithLostAppendResponseIsAccepted(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "out"`)
		bed.Log.LoseResponses(1)
		code, resp := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusOK, code, resp)
		require.Equal(t, resp.Offset, current(t, bed.Nodes[0]).Offset)
	})
}

func TestZoneOutAndIn(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		before := current(t, bed.Nodes[0])
		var resp admin.PutResponse
		for _, state := range []string{"out", "in"} {
			change := map[string]string{"state": state}
			require.Equal(t, http.StatusOK, call(t, bed.Nodes[0], operatorToken, http.MethodPost, "/admin/v1/zones/bkk-a", change, &resp))
			require.Equal(t, publish.Accepted, resp.Status)
			require.Equal(t, state, string(bed.Nodes[0].Loop().Snapshot().Document.Zone("bkk-a").State))
		}
		require.Equal(t, before.Document, current(t, bed.Nodes[0]).Document)
		code := call(t, bed.Nodes[0], operatorToken, http.MethodPost, "/admin/v1/zones/nowhere", map[string]string{"state": "out"}, nil)
		require.Equal(t, http.StatusNotFound, code)

		var entries []admin.AuditEntry
		require.Equal(t, http.StatusOK, call(t, bed.Nodes[1], operatorToken, http.MethodGet, "/admin/v1/audit", nil, &entries))
		require.Len(t, entries, 2)
		require.Equal(t, "ana", entries[0].Who)
		require.Contains(t, entries[0].Diff, `"state": "out"`)
	})
}

func TestTeamChangesItsOwnServiceOnly(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		own := replaced(t, config.Document, `"objective": 0.99`, `"objective": 0.98`)
		code, resp := put(t, bed.Nodes[0], teamToken, config.Offset, own)
		require.Equal(t, http.StatusOK, code, resp)

		config = current(t, bed.Nodes[0])
		code, resp = put(t, bed.Nodes[0], teamToken, config.Offset, replaced(t, config.Document, `"state": "in"`, `"state": "out"`))
		require.Equal(t, http.StatusUnprocessableEntity, code)
		require.Equal(t, "/availabilityZones", resp.Faults[0].Path)
		require.Equal(t, config, current(t, bed.Nodes[0]))

		for _, token := range []string{"", "guess"} {
			code, _ = put(t, bed.Nodes[0], token, config.Offset, own)
			require.Equal(t, http.StatusUnauthorized, code)
		}
	})
}
