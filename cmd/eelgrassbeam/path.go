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

// elementKeys name the fields by which a path selects an element of a list.
var elementKeys = []string{"name", "id", "rank"}

var errNotJSON = fmt.Errorf("%w: not one JSON document", eelgrassbeam.ErrInvalid)

// parseDocument decodes a JSON document and keeps its numbers as written.
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

// parseValue reads the text as JSON, or as a plain text where it is none.
func parseValue(text string) any {
	value, err := parseDocument([]byte(text))
	if err != nil {
		return text
	}
	return value
}

// find returns the value at the dotted path; list elements are named by position, name, id or rank.
func find(document any, path string) (any, error) {
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

// put sets the value at the dotted path of the document; only the last key may be new.
func put(document any, path string, value any) error {
	parent, key := document, path
	if i := strings.LastIndex(path, "."); i >= 0 {
		var err error
		if parent, err = find(document, path[:i]); err != nil {
			return err
		}
		key = path[i+1:]
	}
	switch node := parent.(type) {
	case map[string]any:
		node[key] = value
		return nil
	case []any:
		i, err := position(node, key)
		if err != nil {
			return fmt.Errorf("path %s: %w", path, err)
		}
		node[i] = value
		return nil
	default:
		return fmt.Errorf("path %s: nothing below a plain value", path)
	}
}

func child(value any, key string) (any, error) {
	switch node := value.(type) {
	case map[string]any:
		next, ok := node[key]
		if !ok {
			return nil, fmt.Errorf("no %q: want one of %s", key, strings.Join(slices.Sorted(maps.Keys(node)), ", "))
		}
		return next, nil
	case []any:
		i, err := position(node, key)
		if err != nil {
			return nil, err
		}
		return node[i], nil
	default:
		return nil, fmt.Errorf("no %q below a plain value", key)
	}
}

func position(list []any, key string) (int, error) {
	if i, err := strconv.Atoi(key); err == nil && i >= 0 && i < len(list) {
		return i, nil
	}
	for i, element := range list {
		if elementName(i, element) == key {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no element %q in a list of %d", key, len(list))
}

// difference is one value that differs between two documents.
type difference struct {
	Path string `json:"path"`
	// Old and New are JSON; empty where the value is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// differences returns what changes from one document to the other, sorted by path.
func differences(from, to any) []difference {
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
			flatten(join(path, key), element, into)
		}
	case []any:
		for i, element := range node {
			flatten(join(path, elementName(i, element)), element, into)
		}
	default:
		text, _ := json.Marshal(node)
		into[path] = string(text)
	}
}

// elementName returns the name by which a path selects the element.
func elementName(i int, element any) string {
	fields, _ := element.(map[string]any)
	for _, key := range elementKeys {
		// Routes of one rank stand many times, so only elements that a rank names alone go by it.
		if name, ok := fields[key].(string); ok && (key != "rank" || fields["path_prefix"] == nil) {
			return name
		}
	}
	return strconv.Itoa(i)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
