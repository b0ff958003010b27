package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// keyOutcome responds with the result of an idempotency key's call without
// running the call.
func (m *Module) keyOutcome(c echo.Context) error {
	header := c.Request().Header
	customer := header.Get(HeaderCustomer)
	doc := m.loop.Snapshot().Document
	if doc == nil || doc.Customer(customer) == nil || !authorised(doc, customer, header.Get(echo.HeaderAuthorization)) {
		return writeKeyError(c, http.StatusForbidden, "the customer is not known or needs its bearer token")
	}
	result := m.claims.Lookup(c.Request().Context(), claim.Scoped(c.Param("key"), customer))
	if result == nil {
		return writeKeyError(c, http.StatusNotFound, "no reachable host has an outcome of this key")
	}
	return writeResult(c, "", *result, nil)
}

func writeKeyError(c echo.Context, status int, detail string) error {
	c.Response().Header().Set(HeaderOutcome, request.Unknown.String())
	return c.JSON(status, ErrorResponse{Outcome: request.Unknown.String(), Reason: request.ReasonHolderGone, Detail: detail})
}
