// Package form converts between values of Go types and fields of HTML forms. It
// walks types by reflection, so a new configuration field needs no code here.
// Values are kept as JSON text, so that a form shows invalid input unchanged.
package form

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// Kind is the kind of a field's input element.
type Kind string

// The kinds of input element.
const (
	KindText     Kind = "text"
	KindNumber   Kind = "number"
	KindCheckbox Kind = "checkbox"
	KindSelect   Kind = "select"
)

// Field is one input of a form.
type Field struct {
	// Pointer is the JSON pointer of the value and the name of the input element.
	Pointer string
	Label   string
	Kind    Kind
	Value   string
	Checked bool
	// Options are the values of a select.
	Options []string
	// Hint describes the expected input.
	Hint string
	// Faults are the messages of the value's validation errors.
	Faults []string
}

// Group is a group of inputs: a struct, or a list of structs.
type Group struct {
	Pointer string
	Title   string
	Fields  []*Field
	Groups  []*Group
	// List is set for a list; its Groups are the elements.
	List bool
	// Element is set for an element of a list.
	Element bool
	Faults  []string
}

// Schema holds the types whose values are chosen from a fixed set.
type Schema struct {
	// Options holds the allowed values of each string type with a fixed set.
	Options map[reflect.Type][]string
}

// CountName returns the name of the hidden input that holds the number of
// elements of the list at a JSON pointer.
func CountName(pointer string) string { return pointer + "#" }

var (
	durationType = reflect.TypeFor[jsonc.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// member is a struct field as it appears in JSON.
type member struct {
	name     string
	optional bool
	typ      reflect.Type
}

func members(t reflect.Type) []member {
	var list []member
	for field := range t.Fields() {
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		list = append(list, member{name: name, optional: options != "", typ: field.Type})
	}
	return list
}

// Build returns the form of a value of a struct type at a JSON pointer. The value
// is JSON text; missing members give empty fields.
func (s Schema) Build(t reflect.Type, pointer, title string, value json.RawMessage) *Group {
	group := &Group{Pointer: pointer, Title: title}
	values := object(value)
	for _, m := range members(t) {
		s.add(group, m, pointer+"/"+m.name, values[m.name])
	}
	return group
}

func (s Schema) add(group *Group, m member, pointer string, value json.RawMessage) {
	switch {
	case m.typ.Kind() == reflect.Pointer:
		group.Groups = append(group.Groups, s.Build(m.typ.Elem(), pointer, label(m.name)+" (optional)", value))
	case m.typ.Kind() == reflect.Struct && m.typ != timeType:
		group.Groups = append(group.Groups, s.Build(m.typ, pointer, label(m.name), value))
	case m.typ.Kind() == reflect.Slice:
		group.Groups = append(group.Groups, s.list(m, pointer, value))
	case m.typ.Kind() == reflect.Map:
		group.Groups = append(group.Groups, s.table(m, pointer, value))
	default:
		group.Fields = append(group.Fields, s.field(m, pointer, value))
	}
}

func (s Schema) list(m member, pointer string, value json.RawMessage) *Group {
	list := &Group{Pointer: pointer, Title: label(m.name), List: true}
	for i, element := range elements(value) {
		at := pointer + "/" + strconv.Itoa(i)
		group := s.Build(m.typ.Elem(), at, label(strings.TrimSuffix(m.name, "s"))+" "+strconv.Itoa(i+1), element)
		group.Element = true
		list.Groups = append(list.Groups, group)
	}
	return list
}

// table returns the group of a map, with a field for each key allowed by
// s.Options.
func (s Schema) table(m member, pointer string, value json.RawMessage) *Group {
	group := &Group{Pointer: pointer, Title: label(m.name)}
	values := object(value)
	for _, key := range s.Options[m.typ.Key()] {
		entry := member{name: key, optional: true, typ: m.typ.Elem()}
		group.Fields = append(group.Fields, s.field(entry, pointer+"/"+key, values[key]))
	}
	return group
}

func (s Schema) field(m member, pointer string, value json.RawMessage) *Field {
	field := &Field{Pointer: pointer, Label: label(m.name), Kind: KindText, Value: text(value)}
	switch {
	case m.typ.Kind() == reflect.Bool:
		field.Kind, field.Checked = KindCheckbox, field.Value == "true"
	case isNumber(m.typ):
		field.Kind = KindNumber
	case s.Options[m.typ] != nil:
		field.Kind, field.Options = KindSelect, s.Options[m.typ]
	case m.typ == durationType:
		field.Hint = "a duration such as 250ms, 8s or 10m"
	case m.typ == timeType:
		field.Hint = "a time such as 2026-05-01T18:00:00Z"
	}
	if m.optional && field.Hint == "" {
		field.Hint = "may be left empty"
	}
	return field
}

func isNumber(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Int, reflect.Int64, reflect.Float64:
		return t != durationType
	default:
		return false
	}
}

// label turns a JSON name into words: "maxInFlight" becomes "max in flight".
func label(name string) string {
	var words strings.Builder
	for _, r := range name {
		if r >= 'A' && r <= 'Z' {
			words.WriteByte(' ')
			r += 'a' - 'A'
		}
		words.WriteRune(r)
	}
	return words.String()
}

// text returns a JSON string's content, or any other value as JSON text.
func text(value json.RawMessage) string {
	var s string
	if json.Unmarshal(value, &s) == nil {
		return s
	}
	return string(value)
}

func object(value json.RawMessage) map[string]json.RawMessage {
	var members map[string]json.RawMessage
	_ = json.Unmarshal(value, &members) // any other value has no members
	return members
}

func elements(value json.RawMessage) []json.RawMessage {
	var list []json.RawMessage
	_ = json.Unmarshal(value, &list) // any other value has no elements
	return list
}

// Mark adds the faults' messages to the fields and groups of their pointers and
// returns the faults that lie outside the group.
func (g *Group) Mark(faults jsonc.Faults) (rest jsonc.Faults) {
	for _, fault := range faults {
		if !g.mark(fault) {
			rest = append(rest, fault)
		}
	}
	return rest
}

// mark adds a fault's message to its field or, if there is none, to the innermost
// group that contains its pointer. It reports whether the fault lies in the group.
func (g *Group) mark(fault jsonc.Fault) bool {
	if fault.Path != g.Pointer && !strings.HasPrefix(fault.Path, g.Pointer+"/") {
		return false
	}
	for _, field := range g.Fields {
		if field.Pointer == fault.Path {
			field.Faults = append(field.Faults, fault.Message)
			return true
		}
	}
	for _, group := range g.Groups {
		if group.mark(fault) {
			return true
		}
	}
	g.Faults = append(g.Faults, fault.Message)
	return true
}
