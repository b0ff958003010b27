package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// TokenEvent is the data of a "token" event. The ID of the event is Offset+1, the
// offset at which to resume after it.
type TokenEvent struct {
	Offset int    `json:"offset"`
	Token  string `json:"token"`
}

// DoneEvent is the data of a "done" event, which ends a complete answer.
type DoneEvent struct {
	RequestID string `json:"requestId"`
	Outcome   string `json:"outcome"`
	Tokens    int    `json:"tokens"`
}

// MovedEvent is the data of a "moved" event: the caller must continue at another
// host, from Offset.
type MovedEvent struct {
	RequestID string `json:"requestId"`
	Host      string `json:"host"`
	Address   string `json:"address"`
	Offset    int    `json:"offset"`
}

// CompleteResponse is the response of an engine's route to a caller that did not
// request a stream.
type CompleteResponse struct {
	RequestID string `json:"requestId"`
	Outcome   string `json:"outcome"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

// stream sends a request's output as server-sent events.
func (m *Module) stream(c echo.Context, id string, offset int) error {
	w := newEventWriter(c)
	found, err := m.follower.Follow(c.Request(), id, offset, func(part Part) error {
		return w.writePart(id, part)
	})
	if err != nil {
		// The caller disconnected or the stream broke: no response can be sent.
		return nil
	}
	if !found && !w.headerWritten {
		return writeNotFound(c, id)
	}
	return nil
}

type eventWriter struct {
	c             echo.Context
	headerWritten bool
}

func newEventWriter(c echo.Context) *eventWriter { return &eventWriter{c: c} }

func (w *eventWriter) writeHeader() {
	if w.headerWritten {
		return
	}
	w.headerWritten = true
	header := w.c.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *eventWriter) writePart(id string, part Part) error {
	w.writeHeader()
	for i, token := range part.Tokens {
		offset := part.Offset + i
		if err := w.writeEvent("token", offset+1, TokenEvent{Offset: offset, Token: token}); err != nil {
			return err
		}
	}
	end := part.Offset + len(part.Tokens)
	if err := w.writeEnd(id, end, part); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}

func (w *eventWriter) writeEnd(id string, offset int, part Part) error {
	switch {
	case part.Moved != nil:
		moved := MovedEvent{RequestID: id, Host: part.Moved.ID, Address: part.Moved.Address, Offset: offset}
		return w.writeEvent("moved", offset, moved)
	case part.Result == nil:
		return nil
	case part.Result.Outcome == request.Answer:
		return w.writeEvent("done", offset, DoneEvent{RequestID: id, Outcome: request.Answer.String(), Tokens: offset})
	default:
		return w.writeEvent("error", offset, ErrorResponse{
			RequestID: id, Outcome: part.Result.Outcome.String(), Reason: part.Result.Reason,
		})
	}
}

func (w *eventWriter) writeEvent(name string, id int, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w.c.Response(), "event: %s\nid: %d\ndata: %s\n\n", name, id, encoded)
	return err
}

// respond waits for the end of a request and sends its result as one response.
func (m *Module) respond(c echo.Context, id string) error {
	var tokens []string
	var last Part
	found, err := m.follower.Follow(c.Request(), id, 0, func(part Part) error {
		tokens = append(tokens, part.Tokens...)
		last = part
		return nil
	})
	switch {
	case err != nil:
		return nil
	case !found:
		return writeNotFound(c, id)
	case last.Moved != nil:
		c.Response().Header().Set(echo.HeaderLocation, c.Scheme()+"://"+last.Moved.Address+"/v1/requests/"+id)
		return c.NoContent(http.StatusTemporaryRedirect)
	case last.Result == nil:
		return c.NoContent(http.StatusGatewayTimeout)
	}
	return writeResult(c, id, *last.Result, tokens)
}

func writeResult(c echo.Context, id string, result request.Result, tokens []string) error {
	header := c.Response().Header()
	header.Set(HeaderRequestID, id)
	header.Set(HeaderOutcome, result.Outcome.String())
	if result.Outcome != request.Answer {
		status := http.StatusServiceUnavailable
		if result.Outcome == request.Unknown {
			status = http.StatusGatewayTimeout
		}
		return c.JSON(status, ErrorResponse{RequestID: id, Outcome: result.Outcome.String(), Reason: result.Reason})
	}
	if result.ContentType != "" {
		return c.Blob(http.StatusOK, result.ContentType, result.Body)
	}
	return c.JSON(http.StatusOK, CompleteResponse{
		RequestID: id, Outcome: result.Outcome.String(), Text: strings.Join(tokens, " "), Tokens: len(tokens),
	})
}

func (m *Module) outcome(c echo.Context) error { return m.respond(c, c.Param("id")) }

func (m *Module) resume(c echo.Context) error {
	text := c.Request().Header.Get(HeaderLastEventID)
	if query := c.QueryParam("offset"); query != "" {
		text = query
	}
	offset := 0
	if text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 0 {
			return writeRefusal(c, invalid("the offset is not a number of at least 0"))
		}
		offset = parsed
	}
	return m.stream(c, c.Param("id"), offset)
}

func (m *Module) cancel(c echo.Context) error {
	if !m.follower.Cancel(c.Request(), c.Param("id")) {
		return writeNotFound(c, c.Param("id"))
	}
	return c.NoContent(http.StatusNoContent)
}

// writeNotFound responds to a call about a request that no host knows.
func writeNotFound(c echo.Context, id string) error {
	return c.JSON(http.StatusNotFound, ErrorResponse{
		RequestID: id, Outcome: request.Unknown.String(), Reason: request.ReasonHolderGone,
		Detail: "no host knows this request",
	})
}
