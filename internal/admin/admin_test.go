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

// configText returns an example with a team that owns the first service.
func configText(t testing.TB) string {
	src, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	text := strings.Replace(string(src), `"kind": "engine"`, `"kind": "engine", "team": "cakes"`, 1)
	end := strings.LastIndex(text, "}")
	return text[:end] + `, "teams": [{"name": "cakes", "tokenHash": "` + access.HashToken(teamToken) + `"}]}`
}

// withBed runs a test on three hosts with one operator.
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

// call sends a request with a token and decodes the answer.
func call(t testing.TB, n *testbed.Node, token, method, path string, in, out any) int {
	body, err := json.Marshal(in)
	require.NoError(t, err)
	answer := n.Do(context.Background(), method, path, string(body), map[string]string{"Authorization": "Bearer " + token})
	if out != nil && answer.Body.Len() > 0 {
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), out), answer.Body)
	}
	return answer.Code
}

func current(t testing.TB, n *testbed.Node) admin.Config {
	var config admin.Config
	require.Equal(t, http.StatusOK, call(t, n, operatorToken, http.MethodGet, "/admin/v1/config", nil, &config))
	return config
}

func put(t testing.TB, n *testbed.Node, token string, base int64, text string) (int, admin.PutResponse) {
	var answer admin.PutResponse
	code := call(t, n, token, http.MethodPost, "/admin/v1/config", admin.Change{Base: base, Document: text}, &answer)
	return code, answer
}

func replaced(t testing.TB, text, old, by string) string {
	require.Contains(t, text, old)
	return strings.Replace(text, old, by, 1)
}

func TestEveryFaultIsToldAndNothingIsPutInForce(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "inside"`)
		text = replaced(t, text, `"objective": 0.99`, `"objective": 1.5`)
		code, answer := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusUnprocessableEntity, code)
		require.Len(t, answer.Faults, 2)
		for _, fault := range answer.Faults {
			require.NotEmpty(t, fault.Path)
			require.Contains(t, strings.Split(text, "\n")[fault.Line-1], strings.TrimPrefix(fault.Path[strings.LastIndex(fault.Path, "/"):], "/"))
		}
		require.Equal(t, config, current(t, bed.Nodes[0]))
	})
}

func TestDeeplyNestedDocumentIsRefused(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		code, answer := put(t, bed.Nodes[0], operatorToken, config.Offset, strings.Repeat("[", 1_000_000))
		require.Equal(t, http.StatusUnprocessableEntity, code)
		require.Len(t, answer.Faults, 1)
		require.Contains(t, answer.Faults[0].Message, "nested")
		require.Equal(t, config, current(t, bed.Nodes[0]), "the host goes on serving")
	})
}

func TestChangeKeepsCommentsAndReachesEveryHost(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "out" /* flooded */`)
		code, answer := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusOK, code)
		require.Equal(t, publish.Accepted, answer.Status)
		time.Sleep(2 * time.Second)
		for _, n := range bed.Nodes {
			require.Equal(t, admin.Config{Offset: answer.Offset, Document: text}, current(t, n))
		}
		var status admin.Status
		call(t, bed.Nodes[1], operatorToken, http.MethodGet, "/admin/v1/status", nil, &status)
		require.True(t, status.Everywhere)
		require.Len(t, status.Hosts, 3)
	})
}

func TestLaterOfTwoOperatorsIsTold(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		mine := replaced(t, config.Document, `"state": "in"`, `"state": "out"`)
		theirs := replaced(t, config.Document, `"objective": 0.99`, `"objective": 0.98`)
		answers := make(chan admin.PutResponse, 2)
		for i, text := range []string{mine, theirs} {
			go func() {
				_, answer := put(t, bed.Nodes[i], operatorToken, config.Offset, text)
				answers <- answer
			}()
		}
		first, second := <-answers, <-answers
		if first.Status != publish.Accepted {
			first, second = second, first
		}
		require.Equal(t, publish.Accepted, first.Status)
		require.Equal(t, publish.LostRace, second.Status)
		require.Equal(t, first.Offset, second.Current.Offset)
		require.Contains(t, []string{mine, theirs}, second.Current.Document)
	})
}

func TestLogOutageIsToldPlainly(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "out"`)
		bed.Log.SetDown(true)
		code, answer := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Equal(t, publish.NotAccepted, answer.Status)
		require.Contains(t, answer.Detail, "nothing was accepted")

		bed.Log.SetDown(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, config, current(t, bed.Nodes[0]), "what was not accepted must not come in force later")
	})
}

// TestLostAnswerIsSettled makes every append take effect without an answer.
func TestLostAnswerIsSettled(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		config := current(t, bed.Nodes[0])
		text := replaced(t, config.Document, `"state": "in"`, `"state": "out"`)
		bed.Log.LoseAnswers(1)
		code, answer := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
		require.Equal(t, http.StatusOK, code, answer)
		require.Equal(t, answer.Offset, current(t, bed.Nodes[0]).Offset)
	})
}

func TestZoneOutAndIn(t *testing.T) {
	withBed(t, func(t *testing.T, bed *testbed.Cluster) {
		before := current(t, bed.Nodes[0])
		var answer admin.PutResponse
		for _, state := range []string{"out", "in"} {
			change := map[string]string{"state": state}
			require.Equal(t, http.StatusOK, call(t, bed.Nodes[0], operatorToken, http.MethodPost, "/admin/v1/zones/bkk-a", change, &answer))
			require.Equal(t, publish.Accepted, answer.Status)
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
		code, answer := put(t, bed.Nodes[0], teamToken, config.Offset, own)
		require.Equal(t, http.StatusOK, code, answer)

		config = current(t, bed.Nodes[0])
		code, answer = put(t, bed.Nodes[0], teamToken, config.Offset, replaced(t, config.Document, `"state": "in"`, `"state": "out"`))
		require.Equal(t, http.StatusUnprocessableEntity, code)
		require.Equal(t, "/availabilityZones", answer.Faults[0].Path)
		require.Equal(t, config, current(t, bed.Nodes[0]))

		for _, token := range []string{"", "guess"} {
			code, _ = put(t, bed.Nodes[0], token, config.Offset, own)
			require.Equal(t, http.StatusUnauthorized, code)
		}
	})
}
