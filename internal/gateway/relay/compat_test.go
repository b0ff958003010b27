package relay_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// formerRequest and formerResponse are what the files in testdata/compat hold.
var formerRequest = relay.Request{Operator: 1 << 40, Upstreams: -1, Wait: 3 * time.Millisecond}

func formerResponse() relay.Response {
	document := &catalog.Document{
		Version: 4,
		Routes: []catalog.Route{{
			Name: "once", HostName: "a.example", PathPrefix: "/a", Kind: 0, Resumable: true, Timeout: 5 * time.Second,
			Target: 6 * time.Second, Priority: 7, MaxAttempts: 8, Public: true, Affinity: true,
			Backends: []catalog.Backend{{Service: "chat", Weight: 9}},
		}, {Name: "again", Kind: catalog.Idempotent}, {Name: "stream", Kind: catalog.Stream}},
		Services: []catalog.Service{{
			Name: "chat", HealthPath: "/healthz", MaxConnections: 10, ColdStart: 11 * time.Second, ColdRate: 12.5,
			Engine: &catalog.Engine{Slots: 13, EventTokens: 14, MemoryTokens: 15, BytesPerToken: 16, Moves: true},
			Capacity: &catalog.Capacity{
				Min: 17, Max: 18, Startup: 19 * time.Second, SpotPrice: 0.2, ZonePrices: map[string]float64{"z1": 1.25},
			},
		}, {Name: "plain"}},
		Customers: []catalog.Customer{{
			Name: "acme", Keys: []string{"k1", "k2"}, Priority: 21, Rate: 22.5, Burst: 23.5, InTokens: true, PlainTokens: 24.5,
		}},
		Limits: catalog.Limits{MaxHeaderBytes: 25, MaxBodyBytes: 26, HeaderTimeout: 27 * time.Second, IdleTimeout: 28 * time.Second},
	}
	return relay.Response{
		Operator: catalog.OperatorUpdate{Whole: true, Next: 29, Changes: []catalog.OperatorChange{
			{Document: document},
			{Zone: "z1", Removed: true},
			{RolloutService: "chat", Rollout: catalog.Rollout{Service: "chat", Target: "v2", Within: 30 * time.Second}},
		}},
		Upstreams: catalog.UpstreamUpdate{Whole: true, Next: 31, Changes: []catalog.UpstreamChange{
			{ID: "gone"},
			{ID: "u1", Upstream: &catalog.Upstream{
				ID: "u1", Service: "chat", Address: "10.0.0.3:82", Zone: "z2", Version: "v1", Slots: 32, Draining: true,
				Cold: 33 * time.Second, Born: 1 << 41, Spot: true,
			}},
		}},
		OperatorAge: -34 * time.Millisecond, UpstreamsAge: 35 * time.Millisecond,
	}
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/compat/" + name)
	require.NoError(t, err)
	return data
}

func TestReadsFormerData(t *testing.T) {
	request, response := readFile(t, "request.msgpack"), readFile(t, "response.msgpack")
	former := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path != "/marigoldmux.relay.v1.RelayService/Read" || string(body) != string(request) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/msgpack")
		_, _ = w.Write(response)
	}))
	defer former.Close()
	got, err := relay.NewClient().Read(t.Context(), former.Listener.Addr().String(), formerRequest)
	require.NoError(t, err, "the request differs from that of the former build, or its response is not read")
	require.Equal(t, formerResponse(), got)
	again, err := msgpack.Marshal(&got)
	require.NoError(t, err)
	require.Equal(t, response, again)
	var asked relay.Request
	require.NoError(t, msgpack.Unmarshal(request, &asked))
	require.Equal(t, formerRequest, asked)
}

// TestAnswersFormerRequest checks that a reader of the present build answers a
// follower of the former one with the same values under the same names.
func TestAnswersFormerRequest(t *testing.T) {
	former := formerResponse()
	cache := relay.NewCache()
	require.True(t, cache.ApplyOperator(former.Operator, time.Second))
	require.True(t, cache.ApplyUpstreams(former.Upstreams, time.Second))
	reader := httptest.NewServer(relay.Handler(cache, func() relay.Hosts { return relay.Hosts{} }))
	defer reader.Close()
	answer, err := http.Post(reader.URL+"/marigoldmux.relay.v1.RelayService/Read", "application/msgpack",
		bytes.NewReader(readFile(t, "first-request.msgpack")))
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	require.Equal(t, http.StatusOK, answer.StatusCode)
	var got, want map[string]any
	require.NoError(t, msgpack.NewDecoder(answer.Body).Decode(&got))
	require.NoError(t, msgpack.Unmarshal(readFile(t, "first-response.msgpack"), &want))
	for _, topic := range []string{"Operator", "Upstreams"} {
		gotTopic, wantTopic := got[topic].(map[string]any), want[topic].(map[string]any)
		// The order of changes under different keys is not determined.
		require.ElementsMatch(t, wantTopic["Changes"], gotTopic["Changes"])
		gotTopic["Changes"] = wantTopic["Changes"]
		require.Contains(t, got, topic+"Age")
		got[topic+"Age"] = want[topic+"Age"]
	}
	require.Equal(t, want, got)
}

// TestReadsMessagesWithEpochs checks that the present build reads and writes the messages between
// readers and followers as a build with epochs of the log does.
func TestReadsMessagesWithEpochs(t *testing.T) {
	response := formerResponse()
	response.Operator.Epoch, response.Upstreams.Epoch = 46, 47
	response.Operator.Changes[1].Kept, response.Upstreams.Changes[1].Kept = true, true
	response.Upstreams.Changes[1].Upstream.Sequence = 48
	response.OperatorLag, response.ProvenEpoch, response.ProvenVersion = 49*time.Millisecond, 46, 50
	for name, test := range map[string]struct{ want, got any }{
		"request": {
			&relay.Request{Operator: 41, Upstreams: 42, OperatorEpoch: 43, UpstreamsEpoch: 44, Wait: 45 * time.Millisecond}, &relay.Request{},
		},
		"response": {&response, &relay.Response{}},
		"hosts": {
			&relay.Hosts{Complete: true, Hosts: []members.ListedHost{{Name: "front-a-1", PeerAddress: "10.1.0.14:7600"}}}, &relay.Hosts{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			data := readFile(t, "epochs-"+name+".msgpack")
			require.NoError(t, msgpack.Unmarshal(data, test.got))
			require.Equal(t, test.want, test.got)
			again, err := msgpack.Marshal(test.got)
			require.NoError(t, err)
			require.Equal(t, data, again)
		})
	}
}
