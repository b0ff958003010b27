package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"
)

// ErrNotObject is returned by Diff for a document that is not a JSON object.
var ErrNotObject = errors.New("document is not an object")

// operation is one operation of a JSON Patch (RFC 6902).
type operation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Diff returns a JSON Patch that turns one document into another. The patch keeps
// the comments of the first at the values that it does not change and carries
// none of the second. Its errors are Faults and ErrNotObject.
func Diff(from, to []byte) ([]byte, error) {
	before, err := Parse(from)
	if err != nil {
		return nil, err
	}
	after, err := Parse(to)
	if err != nil {
		return nil, err
	}
	a, ok := before.ast.Value.(*hujson.Object)
	b, alsoOK := after.ast.Value.(*hujson.Object)
	if !ok || !alsoOK {
		return nil, ErrNotObject
	}
	return json.Marshal(diffObject([]operation{}, a, b, ""))
}

// Patch applies a JSON Patch to a document and keeps the comments at values that
// the patch does not change.
func Patch(text, patch []byte) ([]byte, error) {
	parsed, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if err := parsed.ast.Patch(patch); err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	return parsed.ast.Pack(), nil
}

func diffValue(ops []operation, from, to *hujson.Value, path string) []operation {
	switch a := from.Value.(type) {
	case *hujson.Object:
		if b, ok := to.Value.(*hujson.Object); ok {
			return diffObject(ops, a, b, path)
		}
	case *hujson.Array:
		if b, ok := to.Value.(*hujson.Array); ok {
			return diffArray(ops, a, b, path)
		}
	}
	value := standard(to)
	if bytes.Equal(standard(from), value) {
		return ops
	}
	return append(ops, operation{Op: "replace", Path: path, Value: value})
}

func diffObject(ops []operation, from, to *hujson.Object, path string) []operation {
	toMembers := members(to)
	fromMembers := members(from)
	for i := range from.Members {
		name := memberName(&from.Members[i])
		if toMembers[name] == nil {
			ops = append(ops, operation{Op: "remove", Path: path + "/" + escape(name)})
		}
	}
	for i := range to.Members {
		name := memberName(&to.Members[i])
		child := path + "/" + escape(name)
		if fromMembers[name] == nil {
			ops = append(ops, operation{Op: "add", Path: child, Value: standard(toMembers[name])})
			continue
		}
		ops = diffValue(ops, fromMembers[name], toMembers[name], child)
	}
	return ops
}

func diffArray(ops []operation, from, to *hujson.Array, path string) []operation {
	common := min(len(from.Elements), len(to.Elements))
	for i := range common {
		ops = diffValue(ops, &from.Elements[i], &to.Elements[i], path+"/"+strconv.Itoa(i))
	}
	for i := len(from.Elements) - 1; i >= common; i-- {
		ops = append(ops, operation{Op: "remove", Path: path + "/" + strconv.Itoa(i)})
	}
	for i := common; i < len(to.Elements); i++ {
		ops = append(ops, operation{Op: "add", Path: path + "/-", Value: standard(&to.Elements[i])})
	}
	return ops
}

func members(object *hujson.Object) map[string]*hujson.Value {
	byName := make(map[string]*hujson.Value, len(object.Members))
	for i := range object.Members {
		byName[memberName(&object.Members[i])] = &object.Members[i].Value
	}
	return byName
}

// standard returns a value as JSON without comments and whitespace.
func standard(v *hujson.Value) []byte {
	if literal, ok := v.Value.(hujson.Literal); ok {
		return literal
	}
	clone := v.Clone()
	clone.Minimize()
	return clone.Pack()
}
