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

// Change is one field that differs between two configurations. A value is empty if the field is absent.
type Change struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Documents returns the fields that differ between two documents, ordered by name.
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

// Presets returns the fields that differ between the preset in force and the named preset of the document, ordered by
// name. It returns an error if the document has no such preset.
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
		if _, ok := before[field]; !ok {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	var differing []Change
	for _, field := range fields {
		if before[field] != after[field] {
			differing = append(differing, Change{field, before[field], after[field]})
		}
	}
	return differing
}

// flatten returns the leaf values of the JSON form of a value by path. Elements of lists are identified by their name
// field, or by their index if they have none.
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
	flattenNode("", tree, fields)
	return fields, nil
}

func flattenNode(path string, node any, fields map[string]string) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			flattenNode(strings.TrimPrefix(path+"."+key, "."), child, fields)
		}
	case []any:
		for i, child := range node {
			flattenNode(fmt.Sprintf("%s[%s]", path, elementLabel(i, child)), child, fields)
		}
	default:
		fields[path] = fmt.Sprint(node)
	}
}

func elementLabel(index int, item any) string {
	if fields, ok := item.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(index)
}
