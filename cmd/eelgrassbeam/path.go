package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// selectorKeys are the fields by which a path may select an element of a list, in the order of precedence.
var selectorKeys = []string{"name", "id", "rank"}

var errNotJSON = fmt.Errorf("%w: not a single JSON document", eelgrassbeam.ErrInvalid)

// parseDocument decodes a JSON document. Numbers keep their original notation.
func parseDocument(data []byte) (any, error) {
	if !json.Valid(data) {
		return nil, errNotJSON
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return document, nil
}

// parseValue returns the text decoded as JSON, or the text itself if it is not valid JSON.
func parseValue(text string) any {
	value, err := parseDocument([]byte(text))
	if err != nil {
		return text
	}
	return value
}

// valueAt returns the value at the dotted path. A list element is selected by its index, name, id or rank.
func valueAt(document any, path string) (any, error) {
	value := document
	for key := range strings.SplitSeq(path, ".") {
		next, err := child(value, key)
		if err != nil {
			return nil, fmt.Errorf("path %s: %w", path, err)
		}
		value = next
	}
	return value, nil
}

// setValueAt sets the value at the dotted path of the document. Only the last key of the path may be new.
func setValueAt(document any, path string, value any) error {
	parent, key := document, path
	if i := strings.LastIndex(path, "."); i >= 0 {
		var err error
		if parent, err = valueAt(document, path[:i]); err != nil {
			return err
		}
		key = path[i+1:]
	}
	switch node := parent.(type) {
	case map[string]any:
		node[key] = value
		return nil
	case []any:
		i, err := elementIndex(node, key)
		if err != nil {
			return fmt.Errorf("path %s: %w", path, err)
		}
		node[i] = value
		return nil
	default:
		return fmt.Errorf("path %s: a scalar has no fields", path)
	}
}

func child(value any, key string) (any, error) {
	switch node := value.(type) {
	case map[string]any:
		next, ok := node[key]
		if !ok {
			return nil, fmt.Errorf("no field %q: want one of %s", key, strings.Join(slices.Sorted(maps.Keys(node)), ", "))
		}
		return next, nil
	case []any:
		i, err := elementIndex(node, key)
		if err != nil {
			return nil, err
		}
		return node[i], nil
	default:
		return nil, fmt.Errorf("no field %q: a scalar has no fields", key)
	}
}

func elementIndex(list []any, key string) (int, error) {
	if i, err := strconv.Atoi(key); err == nil && i >= 0 && i < len(list) {
		return i, nil
	}
	for i, element := range list {
		if elementSelector(i, element) == key {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no element %q in a list of length %d", key, len(list))
}

// difference is a value that differs between two documents.
type difference struct {
	Path string `json:"path"`
	// Old and New are JSON texts, or empty where the value is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// diff returns the values that differ between two documents, sorted by path.
func diff(from, to any) []difference {
	before, after := make(map[string]string), make(map[string]string)
	flatten("", from, before)
	flatten("", to, after)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var found []difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			found = append(found, difference{Path: path, Old: before[path], New: after[path]})
		}
	}
	return found
}

func flatten(path string, value any, into map[string]string) {
	switch node := value.(type) {
	case map[string]any:
		for key, element := range node {
			flatten(joinPath(path, key), element, into)
		}
	case []any:
		for i, element := range node {
			flatten(joinPath(path, elementSelector(i, element)), element, into)
		}
	default:
		text, _ := json.Marshal(node)
		into[path] = string(text)
	}
}

// elementSelector returns the key by which a path selects the element: its name, id or rank, or else its index.
func elementSelector(i int, element any) string {
	fields, _ := element.(map[string]any)
	for _, key := range selectorKeys {
		// Several routes may have the same rank, so a rank does not select an element with a path prefix.
		if name, ok := fields[key].(string); ok && (key != "rank" || fields["path_prefix"] == nil) {
			return name
		}
	}
	return strconv.Itoa(i)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
