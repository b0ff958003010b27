// Package jsonc decodes JSON with comments and reports all decoding faults of a
// document at once, each with its JSON pointer and line. It also computes and
// applies JSON patches that keep comments.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tailscale/hujson"
)

// Fault is an error at one place of a document.
type Fault struct {
	// Path is the JSON pointer of the faulty value, such as "/services/0/name".
	Path string `json:"path"`
	// Line is the line of the value, counted from 1; 0 if unknown.
	Line int `json:"line"`
	// Message describes the error.
	Message string `json:"message"`
}

// String formats the fault as "line 3: /services/0/name: message". The path is
// left out for a fault of the whole document.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
}

// Faults is a list of faults; a non-empty list is an error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort orders the faults by line, then by path.
func (f Faults) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Path < f[j].Path
	})
}

// Document is a parsed document that keeps the positions of its values.
type Document struct {
	src []byte
	ast hujson.Value
}

// Parse reads JSON with comments and trailing commas. A syntax error is
// returned as Faults with one entry.
func Parse(src []byte) (*Document, error) {
	if faults := checkDepth(src); len(faults) > 0 {
		return nil, faults
	}
	ast, err := hujson.Parse(src)
	if err != nil {
		return nil, Faults{{Path: "", Line: syntaxLine(err), Message: err.Error()}}
	}
	return &Document{src: src, ast: ast}, nil
}

// syntaxLine returns the line number in an error of hujson, which starts with
// "hujson: line N, column M".
func syntaxLine(err error) int {
	_, rest, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 0
	}
	digits, _, _ := strings.Cut(rest, ",")
	line, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return line
}

// Line returns the line, counted from 1, of the value at a JSON pointer, or of
// its nearest existing ancestor if there is no such value.
func (d *Document) Line(path string) int {
	for {
		if v := d.ast.Find(path); v != nil {
			return 1 + bytes.Count(d.src[:v.StartOffset], []byte("\n"))
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

// Fault returns a fault at a JSON pointer with a formatted message.
func (d *Document) Fault(path, format string, args ...any) Fault {
	return Fault{Path: path, Line: d.Line(path), Message: fmt.Sprintf(format, args...)}
}

// Decode decodes the document into dst, a pointer to a struct. It reports all
// unknown fields, duplicate fields and values of the wrong type; if there are
// any, dst is left unchanged.
func (d *Document) Decode(dst any) Faults {
	checker := typeChecker{document: d}
	checker.check(&d.ast, reflect.TypeOf(dst).Elem(), nil)
	if len(checker.faults) > 0 {
		return checker.faults
	}
	if err := json.Unmarshal(standard(&d.ast), dst); err != nil {
		return Faults{{Line: 1, Message: err.Error()}}
	}
	return nil
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// pointer is a JSON pointer as a linked list, formatted only if a fault is
// reported at it.
type pointer struct {
	parent *pointer
	name   string
}

// String formats the pointer as defined in RFC 6901.
func (p *pointer) String() string {
	if p == nil {
		return ""
	}
	return p.parent.String() + "/" + escape(p.name)
}

func (p *pointer) child(name string) *pointer { return &pointer{parent: p, name: name} }

// typeChecker checks a syntax tree against the Go type it will be decoded into.
type typeChecker struct {
	document *Document
	faults   Faults
}

func (d *typeChecker) fault(at *pointer, format string, args ...any) {
	d.faults = append(d.faults, d.document.Fault(at.String(), format, args...))
}

func (d *typeChecker) check(v *hujson.Value, t reflect.Type, at *pointer) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		d.checkLeaf(v, t, at)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		d.checkStruct(v, t, at)
	case reflect.Map:
		d.checkMap(v, t, at)
	case reflect.Slice:
		d.checkSlice(v, t, at)
	default:
		d.checkLeaf(v, t, at)
	}
}

func (d *typeChecker) checkStruct(v *hujson.Value, t reflect.Type, at *pointer) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(at, "want an object")
		return
	}
	fields := fieldsByName(t)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		name := memberName(&object.Members[i])
		field, known := fields[name]
		switch {
		case !known:
			d.fault(at.child(name), "unknown field")
		case seen[name]:
			d.fault(at.child(name), "field given twice")
		default:
			d.check(&object.Members[i].Value, field, at.child(name))
		}
		seen[name] = true
	}
}

func (d *typeChecker) checkMap(v *hujson.Value, t reflect.Type, at *pointer) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(at, "want an object")
		return
	}
	for i := range object.Members {
		d.check(&object.Members[i].Value, t.Elem(), at.child(memberName(&object.Members[i])))
	}
}

func (d *typeChecker) checkSlice(v *hujson.Value, t reflect.Type, at *pointer) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(at, "want a list")
		return
	}
	for i := range array.Elements {
		d.check(&array.Elements[i], t.Elem(), at.child(strconv.Itoa(i)))
	}
}

func (d *typeChecker) checkLeaf(v *hujson.Value, t reflect.Type, at *pointer) {
	err := json.Unmarshal(standard(v), reflect.New(t).Interface())
	if err == nil {
		return
	}
	message := err.Error()
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		message = fmt.Sprintf("want a %s, not a %s", t.Kind(), mismatch.Value)
	}
	d.fault(at, "%s", message)
}

// fieldTypes caches the results of fieldsByName, keyed by reflect.Type.
var fieldTypes sync.Map

// fieldsByName returns the types of a struct's fields by their JSON names.
func fieldsByName(t reflect.Type) map[string]reflect.Type {
	if cached, ok := fieldTypes.Load(t); ok {
		return cached.(map[string]reflect.Type)
	}
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	fieldTypes.Store(t, fields)
	return fields
}

func memberName(m *hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// escape encodes a member name for use in a JSON pointer (RFC 6901).
func escape(name string) string { return pointerEscapes.Replace(name) }

// Duration is a time.Duration that is encoded as a string such as "250ms".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`want a duration such as "250ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.New(`want a duration such as "250ms"`)
	}
	*d = Duration(parsed)
	return nil
}
