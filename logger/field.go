package logger

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"
)

// MaxFields is the maximum number of fields of one decision.
const MaxFields = 6

// Field is an additional input or result of a decision. The zero value is no field.
type Field struct {
	key    string
	text   string
	number float64
	isText bool
}

// Fields are the fields of a decision. They are an array so that recording a decision does not allocate.
type Fields [MaxFields]Field

// Text returns a field with a string value.
func Text[T ~string](key string, value T) Field {
	return Field{key: key, text: string(value), isText: true}
}

// Int returns a field with an integer value.
func Int[T ~int | ~int64 | ~uint64](key string, value T) Field {
	return Field{key: key, number: float64(value)}
}

// Float returns a field with a floating-point value.
func Float(key string, value float64) Field { return Field{key: key, number: value} }

// Duration returns a field with a duration in milliseconds; the key should end in _ms.
func Duration(key string, value time.Duration) Field {
	return Field{key: key, number: float64(value) / float64(time.Millisecond)}
}

// Key returns the key; empty means no field.
func (f Field) Key() string { return f.key }

// Value returns the value as a string.
func (f Field) Value() string {
	if f.isText {
		return f.text
	}
	return strconv.FormatFloat(f.number, 'f', -1, 64)
}

// MarshalJSON encodes the fields as an object of strings.
func (f Fields) MarshalJSON() ([]byte, error) {
	values := make(map[string]string, MaxFields)
	for _, field := range f {
		if field.key != "" {
			values[field.key] = field.Value()
		}
	}
	return json.Marshal(values)
}

// UnmarshalJSON decodes an object of strings. It sorts the fields by key and keeps the first MaxFields.
func (f *Fields) UnmarshalJSON(data []byte) error {
	var values map[string]string
	if err := json.Unmarshal(data, &values); err != nil {
		return err
	}
	*f = Fields{}
	for i, key := range slices.Sorted(maps.Keys(values)) {
		if i == MaxFields {
			break
		}
		f[i] = Text(key, values[key])
	}
	return nil
}
