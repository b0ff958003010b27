package jsonc

import "encoding/json"

// Standard returns a document as plain JSON, without comments and whitespace. Its
// error is of type Faults.
func Standard(text []byte) ([]byte, error) {
	parsed, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return standard(&parsed.ast), nil
}

// Value returns the value at a JSON pointer as plain JSON without whitespace, or
// nil if there is none.
func (d *Document) Value(path string) json.RawMessage {
	v := d.ast.Find(path)
	if v == nil {
		return nil
	}
	return standard(v)
}
