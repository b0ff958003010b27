package access

import (
	"fmt"
	"reflect"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

// Denial is the error for a change that a caller may not make.
type Denial struct {
	// Path is the JSON pointer of the changed value in the new document, or of
	// the list from which it was removed.
	Path string
	// Message describes what is not allowed.
	Message string
}

// Error returns the path and the message.
func (d *Denial) Error() string { return d.Path + ": " + d.Message }

// Unwrap returns ErrDenied.
func (d *Denial) Unwrap() error { return ErrDenied }

// MayPut returns an error unless the caller may replace the document before by
// after. Before is nil if there is no document yet. Its errors are *Denial and
// ErrDenied.
func (id Identity) MayPut(before, after *document.Document) error {
	switch id.Role {
	case RoleOperator:
		return nil
	case RoleTeam:
		if before == nil {
			before = &document.Document{}
		}
		return id.checkTeam(before, after)
	default:
		return eris.Wrapf(ErrDenied, "role %q changes nothing", id.Role)
	}
}

// ownedPart is a part of a document that a team may own.
type ownedPart struct {
	name, team string
	value      any
}

func (id Identity) checkTeam(before, after *document.Document) error {
	if !reflect.DeepEqual(before.AvailabilityZones, after.AvailabilityZones) {
		return &Denial{Path: "/availabilityZones", Message: "only operators change availability zones"}
	}
	if !reflect.DeepEqual(before.Teams, after.Teams) {
		return &Denial{Path: "/teams", Message: "only operators change teams"}
	}
	if err := id.checkOwned("/services", services(before), services(after)); err != nil {
		return err
	}
	return id.checkOwned("/customers", customers(before), customers(after))
}

// checkOwned returns an error unless all parts that differ between two lists
// belong to the caller's team, both before and after.
func (id Identity) checkOwned(path string, before, after []ownedPart) error {
	previous := map[string]ownedPart{}
	for _, part := range before {
		previous[part.name] = part
	}
	for i, part := range after {
		old, existed := previous[part.name]
		delete(previous, part.name)
		if existed && reflect.DeepEqual(old.value, part.value) {
			continue
		}
		if part.team != id.Team || (existed && old.team != id.Team) {
			message := fmt.Sprintf("%q is not of team %q", part.name, id.Team)
			return &Denial{Path: fmt.Sprintf("%s/%d", path, i), Message: message}
		}
	}
	for _, removed := range previous {
		if removed.team != id.Team {
			return &Denial{Path: path, Message: fmt.Sprintf("%q is not of team %q and stays", removed.name, id.Team)}
		}
	}
	return nil
}

func services(doc *document.Document) []ownedPart {
	parts := make([]ownedPart, len(doc.Services))
	for i, s := range doc.Services {
		parts[i] = ownedPart{s.Name, s.Team, s}
	}
	return parts
}

func customers(doc *document.Document) []ownedPart {
	parts := make([]ownedPart, len(doc.Customers))
	for i, c := range doc.Customers {
		parts[i] = ownedPart{c.Name, c.Team, c}
	}
	return parts
}
