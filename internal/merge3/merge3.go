// Package merge3 does three-way merges of JSON documents with comments.
package merge3

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// nameKey is the member that identifies an element of a list.
const nameKey = "name"

// Conflict is a value that both sides changed differently.
type Conflict struct {
	// Path is the path of the value, with names in place of list indexes, such
	// as "/services/advice/kind".
	Path string
	// Mine and Theirs are the values as JSON; empty if the side removed the value.
	Mine, Theirs string
}

// absent is the value of a member that a side does not have.
type absent struct{}

type merger struct{ conflicts []Conflict }

// Merge applies the changes from base to mine to theirs. It keeps the comments of
// theirs at values that do not change. If both sides changed a value differently,
// the result has that of mine and a conflict is reported. Elements of lists of
// objects are matched by name. Its errors are jsonc.Faults and jsonc.ErrNotObject.
func Merge(base, mine, theirs []byte) (merged []byte, conflicts []Conflict, err error) {
	var values [3]any
	for i, text := range [][]byte{base, mine, theirs} {
		if values[i], err = decode(text); err != nil {
			return nil, nil, err
		}
	}
	var m merger
	result, err := json.Marshal(m.merge(values[0], values[1], values[2], ""))
	if err != nil {
		return nil, nil, err
	}
	patch, err := jsonc.Diff(theirs, result)
	if err != nil {
		return nil, nil, err
	}
	merged, err = jsonc.Patch(theirs, patch)
	return merged, m.conflicts, err
}

func decode(text []byte) (any, error) {
	standard, err := jsonc.Standard(text)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.UseNumber()
	var value any
	return value, decoder.Decode(&value)
}

func (m *merger) merge(base, mine, theirs any, path string) any {
	switch {
	case reflect.DeepEqual(mine, theirs), reflect.DeepEqual(base, mine):
		return theirs
	case reflect.DeepEqual(base, theirs):
		return mine
	}
	if merged, ok := m.mergeObjects(base, mine, theirs, path); ok {
		return merged
	}
	if merged, ok := m.mergeLists(base, mine, theirs, path); ok {
		return merged
	}
	m.conflicts = append(m.conflicts, Conflict{Path: path, Mine: jsonText(mine), Theirs: jsonText(theirs)})
	return mine
}

func (m *merger) mergeObjects(base, mine, theirs any, path string) (any, bool) {
	mineObject, ok := mine.(map[string]any)
	theirObject, alsoOK := theirs.(map[string]any)
	if !ok || !alsoOK {
		return nil, false
	}
	baseObject, _ := base.(map[string]any)
	merged := map[string]any{}
	for _, key := range keys(theirObject, mineObject) {
		value := m.merge(get(baseObject, key), get(mineObject, key), get(theirObject, key), path+"/"+key)
		if value != (any)(absent{}) {
			merged[key] = value
		}
	}
	return merged, true
}

func keys(objects ...map[string]any) []string {
	var all []string
	for _, object := range objects {
		for key := range object {
			all = append(all, key)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func get(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}
	return absent{}
}

// mergeLists merges lists of named objects: elements of theirs in their order,
// then those that only mine has. It reports false if either is not such a list.
func (m *merger) mergeLists(base, mine, theirs any, path string) (any, bool) {
	mineNames, mineByName, ok := elementsByName(mine)
	theirNames, theirByName, alsoOK := elementsByName(theirs)
	if !ok || !alsoOK {
		return nil, false
	}
	_, baseByName, _ := elementsByName(base)
	merged := []any{}
	for _, name := range append(theirNames, mineNames...) {
		if name == "" {
			continue
		}
		value := m.merge(get(baseByName, name), get(mineByName, name), get(theirByName, name), path+"/"+name)
		if value != (any)(absent{}) {
			merged = append(merged, value)
		}
		delete(baseByName, name)
		delete(mineByName, name)
		delete(theirByName, name)
	}
	return merged, true
}

// elementsByName returns the names of a list's elements in order, and the elements
// by name. It reports false unless value is a list of objects with unique names.
func elementsByName(value any) (names []string, byName map[string]any, ok bool) {
	list, ok := value.([]any)
	if !ok {
		return nil, nil, false
	}
	byName = map[string]any{}
	for _, element := range list {
		object, isObject := element.(map[string]any)
		name, hasName := object[nameKey].(string)
		if !isObject || !hasName || byName[name] != nil {
			return nil, nil, false
		}
		names = append(names, name)
		byName[name] = element
	}
	return names, byName, true
}

func jsonText(value any) string {
	if value == (any)(absent{}) {
		return ""
	}
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(text)
}
