package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/burn"
	"github.com/marigoldmux/marigoldmux/internal/burnplot"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/form"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/merge3"
	"github.com/marigoldmux/marigoldmux/internal/publish"
)

// refreshSeconds is the reload interval of the status page until a change is
// active on all hosts.
const refreshSeconds = 2

// overviewPage lists all elements of a draft and its diff.
type overviewPage struct {
	page
	Draft    Draft
	Note     string
	Diff     []diffLine
	Faults   jsonc.Faults
	Sections []sectionView
}

type sectionView struct {
	Pointer, Title string
	Entries        []entryView
}

type entryView struct {
	Pointer, Name, Summary string
	// Other is the state to which an availability zone can be switched.
	Other document.ZoneState
}

// newDraft returns a draft of the active configuration, or of an empty one before
// the first.
func (m *Module) newDraft() (Draft, error) {
	current, err := m.service.Current()
	if errors.Is(err, admin.ErrNoDocument) {
		empty := `{"services": [], "availabilityZones": [], "customers": []}` + "\n"
		return Draft{Base: current.Offset, Text: empty}, nil
	}
	return Draft{Base: current.Offset, Original: current.Document, Text: current.Document}, err
}

func (m *Module) overview(c echo.Context, id access.Identity) error {
	draft, err := m.newDraft()
	if err != nil {
		return err
	}
	return m.showOverview(c, id, draft)
}

func (m *Module) showOverview(c echo.Context, id access.Identity, draft Draft) error {
	view := overviewPage{page: m.page("Configuration"), Draft: draft, Note: c.FormValue("note"), Diff: draft.diff()}
	if len(view.Diff) > 0 {
		view.Faults = m.service.Check(id, draft.Text)
	}
	for _, s := range sections {
		view.Sections = append(view.Sections, newSectionView(s, draft))
	}
	return m.render(c, "overview", view)
}

func newSectionView(s section, draft Draft) sectionView {
	view := sectionView{Pointer: s.pointer, Title: s.title}
	var elements []struct {
		Name  string             `json:"name"`
		Kind  string             `json:"kind"`
		State document.ZoneState `json:"state"`
		Team  string             `json:"team"`
	}
	_ = json.Unmarshal(draft.value(s.pointer), &elements) // elements of other types are shown without a summary
	for i, element := range elements {
		entry := entryView{Pointer: fmt.Sprintf("%s/%d", s.pointer, i), Name: element.Name}
		if entry.Name == "" {
			entry.Name = "(no name yet)"
		}
		entry.Summary = strings.TrimSpace(strings.Join([]string{element.Kind, string(element.State), element.Team}, " "))
		switch element.State {
		case document.ZoneServing:
			entry.Other = document.ZoneExcluded
		case document.ZoneExcluded:
			entry.Other = document.ZoneServing
		}
		view.Entries = append(view.Entries, entry)
	}
	return view
}

// edit performs the action of a button on the overview page.
func (m *Module) edit(c echo.Context, id access.Identity) error {
	values, err := c.FormParams()
	if err != nil {
		return eris.Wrap(ErrDraft, err.Error())
	}
	draft, err := readDraft(values)
	if err != nil {
		return err
	}
	switch {
	case values.Get("open") != "":
		return m.showForm(c, id, draft, values.Get("open"))
	case values.Get("add") != "":
		pointer, err := draft.add(values.Get("add"))
		if err != nil {
			return err
		}
		return m.showForm(c, id, draft, pointer)
	case values.Get("remove") != "":
		if err := draft.remove(values.Get("remove")); err != nil {
			return err
		}
	case values.Get("zone") != "":
		name, state, _ := strings.Cut(values.Get("zone"), "=")
		text, err := admin.WithZone(draft.Text, name, document.ZoneState(state))
		if err != nil && !isFaults(err) {
			return eris.Wrap(ErrDraft, err.Error())
		}
		if err == nil {
			draft.Text = text
		}
	}
	return m.showOverview(c, id, draft)
}

func isFaults(err error) bool {
	var faults jsonc.Faults
	return errors.As(err, &faults)
}

// editPage shows the form of one element.
type editPage struct {
	page
	Draft Draft
	Form  *form.Group
	// Faults holds the faults that belong to no field of the form.
	Faults jsonc.Faults
}

// showForm renders the form of an element with the faults of the draft.
func (m *Module) showForm(c echo.Context, id access.Identity, draft Draft, pointer string) error {
	s, err := sectionOf(pointer)
	if err != nil {
		return err
	}
	value := draft.value(pointer)
	if value == nil {
		return eris.Wrapf(ErrDraft, "no element %q", pointer)
	}
	view := editPage{page: m.page("Edit " + s.title), Draft: draft, Form: schema.Build(s.element, pointer, s.title, value)}
	view.Faults = view.Form.Mark(m.service.Check(id, draft.Text))
	return m.render(c, "edit", view)
}

// save applies the submitted form to the draft. It shows the form again or, after
// the action "save" without faults in the element, the overview with the diff.
func (m *Module) save(c echo.Context, id access.Identity) error {
	values, err := c.FormParams()
	if err != nil {
		return eris.Wrap(ErrDraft, err.Error())
	}
	draft, err := readDraft(values)
	if err != nil {
		return err
	}
	pointer := values.Get("pointer")
	s, err := sectionOf(pointer)
	if err != nil {
		return err
	}
	action, target, _ := strings.Cut(values.Get("action"), ":")
	if action == "add" {
		appendListElement(values, target)
	}
	if err := draft.replace(pointer, schema.Decode(s.element, pointer, values)); err != nil {
		return err
	}
	if action == "remove" {
		if err := draft.patch(operation{Op: "remove", Path: target}); err != nil {
			return err
		}
	}
	if action != "save" || hasFaultUnder(m.service.Check(id, draft.Text), pointer) {
		return m.showForm(c, id, draft, pointer)
	}
	return m.showOverview(c, id, draft)
}

// appendListElement adds an empty element to a list in the values of a form.
func appendListElement(values url.Values, pointer string) {
	name := form.CountName(pointer)
	count, err := strconv.Atoi(values.Get(name))
	if err == nil {
		values.Set(name, strconv.Itoa(count+1))
	}
}

// hasFaultUnder reports whether a fault is at pointer or below it.
func hasFaultUnder(faults jsonc.Faults, pointer string) bool {
	for _, fault := range faults {
		if fault.Path == pointer || strings.HasPrefix(fault.Path, pointer+"/") {
			return true
		}
	}
	return false
}

// outcomePage shows a change that was not accepted or whose outcome is unknown, and
// carries its draft.
type outcomePage struct {
	page
	Draft  Draft
	Note   string
	Diff   []diffLine
	Faults jsonc.Faults
	// Theirs is the diff of the change that was accepted first, Merged a draft with
	// both changes.
	Theirs    []diffLine
	Merged    Draft
	Conflicts []merge3.Conflict
}

// put publishes the draft.
func (m *Module) put(c echo.Context, id access.Identity) error {
	values, err := c.FormParams()
	if err != nil {
		return eris.Wrap(ErrDraft, err.Error())
	}
	draft, err := readDraft(values)
	if err != nil {
		return err
	}
	change := admin.Change{Base: draft.Base, Document: draft.Text, Note: values.Get("note")}
	resp := m.service.Put(c.Request().Context(), id, change)
	if resp.Status == publish.Accepted {
		return c.Redirect(http.StatusSeeOther, fmt.Sprintf("/console/status?accepted=%d", resp.Offset))
	}
	view := outcomePage{
		page: m.page("Nothing was put in force"), Draft: draft, Note: change.Note,
		Diff: draft.diff(), Faults: resp.Faults,
	}
	view.Message = fmt.Sprintf("%s: %s", resp.Status, resp.Detail)
	switch resp.Status {
	case publish.Unknown:
		view.Title = "It is not known yet whether your change is in force"
	case publish.LostRace:
		view.rebase(*resp.Current)
	}
	return m.render(c, "outcome", view)
}

// rebase sets the diff of the change that was accepted first, and a draft with
// both changes.
func (p *outcomePage) rebase(current admin.Config) {
	p.Title = "Another change came first"
	p.Theirs = diffLines(p.Draft.Original, current.Document,
		fmt.Sprintf("offset %d", p.Draft.Base), fmt.Sprintf("offset %d", current.Offset))
	p.Merged = Draft{Base: current.Offset, Original: current.Document, Text: p.Draft.Text}
	merged, conflicts, err := merge3.Merge([]byte(p.Draft.Original), []byte(p.Draft.Text), []byte(current.Document))
	if err == nil {
		p.Merged.Text, p.Conflicts = string(merged), conflicts
	}
}

// statePage shows which configuration is active on each host.
type statePage struct {
	page
	Status admin.Status
}

func (m *Module) status(c echo.Context, _ access.Identity) error {
	view := statePage{page: m.page("Status"), Status: m.service.Status(c.Request().Context())}
	if accepted, err := strconv.ParseInt(c.QueryParam("accepted"), 10, 64); err == nil {
		view.Good = true
		view.Message = fmt.Sprintf("Your change was accepted at offset %d.", accepted)
		if !view.Status.Everywhere {
			view.Refresh = refreshSeconds
		}
	}
	return m.render(c, "state", view)
}

// reportPage shows the service levels.
type reportPage struct {
	page
	Report  burn.Report
	Burners []string
	Plots   []template.HTML
}

func (m *Module) report(c echo.Context, _ access.Identity) error {
	view := reportPage{page: m.page("Service levels"), Report: m.service.Burn(c.Request().Context())}
	for _, route := range view.Report.Routes {
		view.Burners = append(view.Burners, route.Describe(view.Report.Windows)...)
	}
	plots, err := burnplot.SVGs(view.Report)
	if err != nil {
		return err
	}
	for _, svg := range plots {
		_, body, _ := strings.Cut(string(svg), "<svg")
		// The plot library escapes the texts that it draws.
		view.Plots = append(view.Plots, template.HTML("<svg"+body))
	}
	return m.render(c, "report", view)
}
