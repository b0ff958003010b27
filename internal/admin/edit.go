package admin

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// ErrNoZone is the error for a name that no availability zone of the
// configuration has.
var ErrNoZone = eris.New("no such availability zone")

// patchOperation is one step of a JSON Patch (RFC 6902).
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// WithZone returns the text of a document with the state of an availability zone
// replaced. Comments are kept. It returns ErrNoZone, or the jsonc.Faults of the
// document.
func WithZone(text, zone string, state document.ZoneState) (string, error) {
	doc, err := document.Parse([]byte(text))
	if err != nil {
		return "", err
	}
	for i, z := range doc.AvailabilityZones {
		if z.Name != zone {
			continue
		}
		if z.State == state {
			return text, nil
		}
		path := fmt.Sprintf("/availabilityZones/%d/state", i)
		patch, err := json.Marshal([]patchOperation{{"replace", path, state}})
		if err != nil {
			return "", err
		}
		changed, err := jsonc.Patch([]byte(text), patch)
		return string(changed), err
	}
	return "", eris.Wrapf(ErrNoZone, "%q", zone)
}
