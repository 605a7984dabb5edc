// Package strictjson decodes JSON into typed values and reports every fault at
// once, each with its path; for an unknown field it suggests the nearest known one.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// Path locates the fault, such as "$.models[0].version".
	Path string `json:"path"`
	// Message describes the error in one sentence.
	Message string `json:"message"`
}

// Faults is an error that lists all faults of a document.
type Faults []Fault

// Error implements error: one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Path + ": " + x.Message
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault.
func (f *Faults) Add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Err returns f, or nil when it is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Decode decodes body into the struct that target points to. Malformed JSON,
// unknown fields and values of the wrong type are faults. Fields without a fault
// are still set, so that the caller can validate them.
func Decode(body []byte, target any) Faults {
	var faults Faults
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var jsonValue any
	if err := dec.Decode(&jsonValue); err != nil {
		faults.Add("$", "not valid JSON: %v", err)
		return faults
	}
	if _, err := dec.Token(); err != io.EOF {
		faults.Add("$", "unexpected data after the end of the document")
		return faults
	}
	decodeValue("$", jsonValue, reflect.ValueOf(target).Elem(), &faults)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

var jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func decodeValue(path string, jsonValue any, v reflect.Value, faults *Faults) {
	if v.Addr().Type().Implements(jsonUnmarshalerType) {
		decodeLeaf(path, jsonValue, v, faults)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		decodeStruct(path, jsonValue, v, faults)
	case reflect.Slice:
		decodeSlice(path, jsonValue, v, faults)
	case reflect.Map:
		decodeMap(path, jsonValue, v, faults)
	case reflect.Pointer:
		if jsonValue == nil {
			return
		}
		v.Set(reflect.New(v.Type().Elem()))
		decodeValue(path, jsonValue, v.Elem(), faults)
	default:
		decodeLeaf(path, jsonValue, v, faults)
	}
}

func decodeStruct(path string, jsonValue any, v reflect.Value, faults *Faults) {
	obj, ok := jsonValue.(map[string]any)
	if !ok {
		faults.Add(path, "want an object, got %s", describeValue(jsonValue))
		return
	}
	fields := map[string]int{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	for name, element := range obj {
		i, known := fields[name]
		if !known {
			faults.Add(path+"."+name, "unknown field%s", suggestion(name, fields))
			continue
		}
		decodeValue(path+"."+name, element, v.Field(i), faults)
	}
}

func decodeSlice(path string, jsonValue any, v reflect.Value, faults *Faults) {
	list, ok := jsonValue.([]any)
	if !ok {
		faults.Add(path, "want an array, got %s", describeValue(jsonValue))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, element := range list {
		decodeValue(fmt.Sprintf("%s[%d]", path, i), element, v.Index(i), faults)
	}
}

func decodeMap(path string, jsonValue any, v reflect.Value, faults *Faults) {
	obj, ok := jsonValue.(map[string]any)
	if !ok {
		faults.Add(path, "want an object, got %s", describeValue(jsonValue))
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(obj)))
	for name, element := range obj {
		elem := reflect.New(v.Type().Elem()).Elem()
		decodeValue(path+"."+name, element, elem, faults)
		v.SetMapIndex(reflect.ValueOf(name), elem)
	}
}

func decodeLeaf(path string, jsonValue any, v reflect.Value, faults *Faults) {
	raw, err := json.Marshal(jsonValue)
	if err == nil {
		err = json.Unmarshal(raw, v.Addr().Interface())
	}
	if err == nil {
		return
	}
	if _, mismatch := err.(*json.UnmarshalTypeError); mismatch {
		faults.Add(path, "want %s, got %s", expectedType(v.Kind()), describeValue(jsonValue))
		return
	}
	faults.Add(path, "%s", err.Error())
}

func expectedType(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint32:
		return "an integer"
	default:
		return "a number"
	}
}

func describeValue(jsonValue any) string {
	switch t := jsonValue.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case json.Number:
		return "the number " + t.String()
	case []any:
		return "an array"
	default:
		return "an object"
	}
}

// suggestion proposes the field with the smallest edit distance to name, unless
// all are too different.
func suggestion(name string, fields map[string]int) string {
	best, bestDistance := "", len(name)/2+1
	for field := range fields {
		d := editDistance(name, field)
		if d < bestDistance || (d == bestDistance && best != "" && field < best) {
			best, bestDistance = field, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
