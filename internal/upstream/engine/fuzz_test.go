package engine_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// fixedBody is a RoundTripper that responds to each request with the same body.
type fixedBody []byte

func (b fixedBody) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, Body: io.NopCloser(bytes.NewReader(b)),
	}, nil
}

// FuzzStream checks that the stream of an engine that sends any bytes ends, with
// an *upstream.Failure.
func FuzzStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, sent []byte) {
		client := engine.NewClient("http://engine", &http.Client{Transport: fixedBody(sent)})
		stream, err := client.Generate(context.Background(), engine.GenerateRequest{ID: "a"})
		require.NoError(t, err)
		defer func() { _ = stream.Close() }()
		for range len(sent) + 1 {
			if _, err = stream.Next(); err != nil {
				break
			}
		}
		var failure *upstream.Failure
		require.True(t, errors.As(err, &failure), "the stream does not end")
	})
}

// Guards against a regular end of a body that is taken for the end of its stream: only a
// chunk that is the last one is.
func TestStreamWithoutItsLastChunkIsLost(t *testing.T) {
	const token = "data: {\"index\":0,\"token\":\"a\"}\n\n"
	for _, sent := range []string{"", token, token + "data: {\"ind", token + "data: {\"index\":1,\"token\":\"b\"}"} {
		client := engine.NewClient("http://engine", &http.Client{Transport: fixedBody(sent)})
		stream, err := client.Generate(context.Background(), engine.GenerateRequest{ID: "a"})
		require.NoError(t, err)
		for err == nil {
			_, err = stream.Next()
		}
		var failure *upstream.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, upstream.Lost, failure.Kind)
		require.NoError(t, stream.Close())
	}
}
