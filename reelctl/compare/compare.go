package compare

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
)

// Change is one field that differs.
type Change struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Documents returns the fields that differ between two revisions, ordered by name.
func Documents(from, to *document.Document) ([]Change, error) {
	before, err := flatten(from)
	if err != nil {
		return nil, err
	}
	after, err := flatten(to)
	if err != nil {
		return nil, err
	}
	return changes(before, after), nil
}

// Presets returns what putting another preset of the document in force would change.
func Presets(doc *document.Document, name string) ([]Change, error) {
	next := *doc
	next.PresetInForce = name
	if err := next.Check(); err != nil {
		return nil, err
	}
	before, err := flatten(doc.Preset())
	if err != nil {
		return nil, err
	}
	after, err := flatten(next.Preset())
	if err != nil {
		return nil, err
	}
	return changes(before, after), nil
}

func changes(before, after map[string]string) []Change {
	fields := slices.Sorted(maps.Keys(before))
	for field := range after {
		if _, known := before[field]; !known {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	var found []Change
	for _, field := range fields {
		if before[field] != after[field] {
			found = append(found, Change{field, before[field], after[field]})
		}
	}
	return found
}

// flatten returns a value's fields by path; items of lists go by their name where they have one.
func flatten(value any) (map[string]string, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	fields := map[string]string{}
	walk("", tree, fields)
	return fields, nil
}

func walk(path string, node any, fields map[string]string) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			walk(strings.TrimPrefix(path+"."+key, "."), child, fields)
		}
	case []any:
		for i, child := range node {
			walk(fmt.Sprintf("%s[%s]", path, label(i, child)), child, fields)
		}
	default:
		fields[path] = fmt.Sprint(node)
	}
}

func label(index int, item any) string {
	if fields, ok := item.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(index)
}
