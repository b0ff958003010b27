package form

import (
	"bytes"
	"encoding/json"
	"net/url"
	"reflect"
	"strconv"
)

// maxElements is the maximum length of a list in a form.
const maxElements = 1000

// Decode returns the JSON text of the values submitted in the form of a struct
// type at a JSON pointer. Optional fields and times that are empty are left out.
// A number that does not parse is encoded as a string, which validation rejects.
func (s Schema) Decode(t reflect.Type, pointer string, values url.Values) json.RawMessage {
	var out objectWriter
	for _, m := range members(t) {
		value, present := s.decode(m, pointer+"/"+m.name, values)
		if present {
			out.member(m.name, value)
		}
	}
	return out.end()
}

func (s Schema) decode(m member, pointer string, values url.Values) (value json.RawMessage, present bool) {
	switch {
	case m.typ.Kind() == reflect.Pointer:
		if !hasInput(values, pointer) {
			return nil, false
		}
		return s.Decode(m.typ.Elem(), pointer, values), true
	case m.typ.Kind() == reflect.Struct && m.typ != timeType:
		return s.Decode(m.typ, pointer, values), true
	case m.typ.Kind() == reflect.Slice:
		list := s.decodeList(m, pointer, values)
		return encode(list), len(list) > 0 || !m.optional
	case m.typ.Kind() == reflect.Map:
		return s.decodeTable(m, pointer, values), true
	default:
		return decodeField(m, values.Get(pointer))
	}
}

// hasInput reports whether any field below a pointer has a non-empty value.
func hasInput(values url.Values, pointer string) bool {
	for name, texts := range values {
		if len(name) > len(pointer) && name[:len(pointer)+1] == pointer+"/" && texts[0] != "" {
			return true
		}
	}
	return false
}

func (s Schema) decodeList(m member, pointer string, values url.Values) []json.RawMessage {
	count, err := strconv.Atoi(values.Get(CountName(pointer)))
	if err != nil || count < 0 {
		count = 0
	}
	list := []json.RawMessage{}
	for i := range min(count, maxElements) {
		list = append(list, s.Decode(m.typ.Elem(), pointer+"/"+strconv.Itoa(i), values))
	}
	return list
}

func (s Schema) decodeTable(m member, pointer string, values url.Values) json.RawMessage {
	var out objectWriter
	for _, key := range s.Options[m.typ.Key()] {
		entry := member{name: key, optional: true, typ: m.typ.Elem()}
		if value, present := decodeField(entry, values.Get(pointer+"/"+key)); present {
			out.member(key, value)
		}
	}
	return out.end()
}

func decodeField(m member, input string) (value json.RawMessage, present bool) {
	switch {
	case m.typ.Kind() == reflect.Bool:
		return encode(input != ""), true
	case input == "" && (m.optional || m.typ == timeType):
		return nil, false
	case isNumber(m.typ) && isNumeral(input):
		return json.RawMessage(input), true
	default:
		return encode(input), true
	}
}

func isNumeral(input string) bool {
	var number json.Number
	return json.Unmarshal([]byte(input), &number) == nil && input[0] != '"'
}

// encode encodes a value of a type whose encoding does not fail.
func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}

// objectWriter builds a JSON object with its members in the order of the calls.
type objectWriter struct{ buf bytes.Buffer }

func (w *objectWriter) member(name string, value json.RawMessage) {
	if w.buf.Len() > 0 {
		w.buf.WriteString(", ")
	}
	w.buf.Write(encode(name))
	w.buf.WriteString(": ")
	w.buf.Write(value)
}

func (w *objectWriter) end() json.RawMessage { return json.RawMessage("{" + w.buf.String() + "}") }
