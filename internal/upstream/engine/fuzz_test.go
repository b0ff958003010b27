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

// body answers each call with the same bytes.
type body []byte

func (b body) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, Body: io.NopCloser(bytes.NewReader(b)),
	}, nil
}

// FuzzStream checks that whatever an engine sends, its stream ends, and with a
// failure that tells what is certain.
func FuzzStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, sent []byte) {
		client := engine.NewClient("http://engine", &http.Client{Transport: body(sent)})
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
