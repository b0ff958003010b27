package burn_test

import (
	"fmt"
	"testing"

	"github.com/marigoldmux/marigoldmux/internal/burn"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// BenchmarkRequest records one attempt and one finished request per iteration,
// over 200 upstreams and 20 customers of one route.
func BenchmarkRequest(b *testing.B) {
	r := burn.NewRecorder()
	var attempts []control.AttemptEnded
	for i := range 200 {
		attempts = append(attempts, control.AttemptEnded{
			Service: "advice", Route: "menu", Version: "v1", Zone: fmt.Sprintf("zone-%d", i%4), Upstream: fmt.Sprintf("up-%d", i),
		})
	}
	var customers []string
	for i := range 20 {
		customers = append(customers, fmt.Sprintf("customer-%d", i))
	}
	i := 0
	for b.Loop() {
		i++
		r.Attempt(attempts[i%len(attempts)], start)
		r.Ended(ended(customers[i%len(customers)], request.Answer, "", start))
	}
}

// BenchmarkFullRecorder fills a recorder with 64 routes of 128 customers and 128
// upstreams each, which reaches its limits; B/op estimates the maximum memory of
// one host's recorder.
func BenchmarkFullRecorder(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		r := burn.NewRecorder()
		for route := range 64 {
			for i := range 128 {
				end := ended(fmt.Sprintf("customer-%d", i), request.Unknown, request.ReasonUpstreamFailed, start)
				end.Route = fmt.Sprintf("route-%d", route)
				end.FirstBad = &control.AttemptEnded{Service: "advice", Route: end.Route, Upstream: fmt.Sprintf("up-%d", i)}
				r.Ended(end)
			}
		}
	}
}
