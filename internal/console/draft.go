package console

import (
	"encoding/json"
	"fmt"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/form"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/textdiff"
)

// ErrDraft is the error for form values that no page of the console sends.
var ErrDraft = eris.New("the page sent a draft that is not usable")

// schema maps the document types to forms; Options lists the values of enums.
var schema = form.Schema{Options: map[reflect.Type][]string{
	reflect.TypeFor[document.Kind]():      {string(document.KindEngine), string(document.KindPlain)},
	reflect.TypeFor[document.Class]():     {string(document.ClassInteractive), string(document.ClassStandard), string(document.ClassBatch)},
	reflect.TypeFor[document.ZoneState](): {string(document.ZoneServing), string(document.ZoneExcluded)},
	reflect.TypeFor[document.HostClass](): {string(document.Reclaimable), string(document.OnDemand)},
}}

// section is a list in the document whose elements have a form each.
type section struct {
	pointer, title string
	element        reflect.Type
}

var sections = []section{
	{"/services", "Services", reflect.TypeFor[document.Service]()},
	{"/availabilityZones", "Availability zones", reflect.TypeFor[document.AvailabilityZone]()},
	{"/customers", "Customers", reflect.TypeFor[document.Customer]()},
	{"/teams", "Teams", reflect.TypeFor[document.Team]()},
}

// sectionOf returns the section of an element by the JSON pointer of the element,
// such as "/services/0".
func sectionOf(pointer string) (section, error) {
	cut := strings.LastIndexByte(pointer, '/')
	for _, s := range sections {
		if cut > 0 && pointer[:cut] == s.pointer {
			if _, err := strconv.Atoi(pointer[cut+1:]); err == nil {
				return s, nil
			}
		}
	}
	return section{}, eris.Wrapf(ErrDraft, "no element %q", pointer)
}

// Draft is a change that is being edited. The pages carry it as hidden form
// values, so that hosts keep no state and any host can serve the next step.
type Draft struct {
	// Base is the offset of the document that was active when the edit began, and
	// Original is its text.
	Base     int64
	Original string
	// Text is the edited text. It is always JSON with comments, but not always
	// a valid document.
	Text string
}

// readDraft decodes a draft from form values.
func readDraft(values url.Values) (Draft, error) {
	base, err := strconv.ParseInt(values.Get("base"), 10, 64)
	if err != nil {
		return Draft{}, eris.Wrap(ErrDraft, "base")
	}
	// Browsers submit line breaks as CR LF.
	unix := strings.NewReplacer("\r\n", "\n").Replace
	d := Draft{Base: base, Original: unix(values.Get("original")), Text: unix(values.Get("draft"))}
	if _, err := jsonc.Parse([]byte(d.Text)); err != nil {
		return Draft{}, eris.Wrap(ErrDraft, err.Error())
	}
	return d, nil
}

// value returns the value at a JSON pointer without comments, or nil if there is
// none.
func (d Draft) value(pointer string) json.RawMessage {
	parsed, err := jsonc.Parse([]byte(d.Text))
	if err != nil {
		return nil
	}
	return parsed.Value(pointer)
}

// operation is one step of a JSON Patch (RFC 6902).
type operation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

func (d *Draft) patch(op operation) error {
	patch, err := json.Marshal([]operation{op})
	if err != nil {
		return eris.Wrap(ErrDraft, err.Error())
	}
	changed, err := jsonc.Patch([]byte(d.Text), patch)
	if err != nil {
		return eris.Wrap(ErrDraft, err.Error())
	}
	d.Text = string(changed)
	return nil
}

// replace sets the value at a JSON pointer. Comments at values that do not change
// are kept.
func (d *Draft) replace(pointer string, value json.RawMessage) error {
	changed := *d
	if err := changed.patch(operation{Op: "replace", Path: pointer, Value: value}); err != nil {
		return err
	}
	patch, err := jsonc.Diff([]byte(d.Text), []byte(changed.Text))
	if err != nil {
		return eris.Wrap(ErrDraft, err.Error())
	}
	text, err := jsonc.Patch([]byte(d.Text), patch)
	if err != nil {
		return eris.Wrap(ErrDraft, err.Error())
	}
	d.Text = string(text)
	return nil
}

// add appends an empty element to the section at a JSON pointer and returns the
// pointer of the element.
func (d *Draft) add(pointer string) (string, error) {
	var list []json.RawMessage
	if value := d.value(pointer); value != nil {
		if err := json.Unmarshal(value, &list); err != nil {
			return "", eris.Wrap(ErrDraft, err.Error())
		}
	} else if err := d.patch(operation{Op: "add", Path: pointer, Value: json.RawMessage("[]")}); err != nil {
		return "", err
	}
	added := fmt.Sprintf("%s/%d", pointer, len(list))
	s, err := sectionOf(added)
	if err != nil {
		return "", err
	}
	empty := schema.Decode(s.element, added, url.Values{})
	return added, d.patch(operation{Op: "add", Path: pointer + "/-", Value: empty})
}

func (d *Draft) remove(pointer string) error {
	if _, err := sectionOf(pointer); err != nil {
		return err
	}
	return d.patch(operation{Op: "remove", Path: pointer})
}

// diffLine is a line of a diff with its CSS class.
type diffLine struct {
	Class, Text string
}

func diffLines(from, to, fromName, toName string) []diffLine {
	text := textdiff.Unified(from, to, fromName, toName)
	if text == "" {
		return nil
	}
	var lines []diffLine
	for line := range strings.SplitSeq(strings.TrimSuffix(text, "\n"), "\n") {
		class := ""
		switch line[:min(1, len(line))] {
		case "+":
			class = "add"
		case "-":
			class = "del"
		}
		lines = append(lines, diffLine{Class: class, Text: line})
	}
	return lines
}

// diff returns the difference between the original and the edited text.
func (d Draft) diff() []diffLine {
	return diffLines(d.Original, d.Text, fmt.Sprintf("offset %d", d.Base), "your change")
}
