package capacity

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
	"github.com/marigoldmux/marigoldmux/internal/dial"
)

const (
	callsWarm     = 200
	callsMeasured = 5000
	// gossipHosts is the number of host states in a typical message.
	gossipHosts = 2
)

type sink struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

// Deliver implements peerv1connect.PeerServiceHandler.
func (sink) Deliver(context.Context, *peerv1.DeliverRequest) (*peerv1.DeliverResponse, error) {
	return &peerv1.DeliverResponse{}, nil
}

// CallCost returns the processor time of one call between peers over loopback,
// that of both ends and of the kernel included.
func CallCost() (time.Duration, error) {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(sink{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := dial.NewHTTP().Peer(strings.TrimPrefix(server.URL, "http://"))
	req := &peerv1.DeliverRequest{From: hostName(0), Incarnation: "0123456789ab"}
	gossip := &peerv1.Gossip{Sequence: 1}
	for i := range gossipHosts {
		gossip.Hosts = append(gossip.Hosts, &peerv1.HostState{Id: hostName(i), Incarnation: "0123456789ab", Counter: 1, ConfigOffset: 9})
	}
	req.Messages = []*peerv1.Message{{Body: &peerv1.Message_Gossip{Gossip: gossip}}}
	var start time.Duration
	for i := range callsWarm + callsMeasured {
		if i == callsWarm {
			start = processorTime()
		}
		if _, err := client.Deliver(context.Background(), req); err != nil {
			return 0, err
		}
	}
	return (processorTime() - start) / callsMeasured, nil
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
