package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/marigoldmux/marigoldmux/internal/gateway/explain"
)

// explainer answers queries: forward.Handler.
type explainer interface {
	Explain(q *explain.Query) (*explain.Answer, error)
}

// explainHandler answers queries at explain.Path. It computes one answer at a time, so that
// queries take little from the host's requests.
func explainHandler(e explainer) echo.HandlerFunc {
	var computing sync.Mutex
	return func(c echo.Context) error {
		query, err := decodeQuery(http.MaxBytesReader(c.Response(), c.Request().Body, explain.MaxBytes))
		if err != nil {
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				return c.String(http.StatusRequestEntityTooLarge, "the query is too large")
			}
			return c.String(http.StatusBadRequest, err.Error())
		}
		computing.Lock()
		defer computing.Unlock()
		answer, err := e.Explain(query)
		switch {
		case errors.Is(err, explain.ErrInvalid):
			return c.String(http.StatusBadRequest, err.Error())
		case errors.Is(err, explain.ErrUnknown):
			return c.String(http.StatusNotFound, err.Error())
		case errors.Is(err, explain.ErrNoConfiguration):
			return c.String(http.StatusServiceUnavailable, err.Error())
		case err != nil:
			return err
		}
		return c.JSON(http.StatusOK, answer)
	}
}

// decodeQuery decodes a query and nothing else. Unknown fields are errors, so that a
// misspelled one does not change the question.
func decodeQuery(body io.Reader) (*explain.Query, error) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	var query explain.Query
	if err := decoder.Decode(&query); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = errors.New("more than one JSON value")
		}
		return nil, err
	}
	return &query, nil
}
