// Package strictjson decodes JSON into typed values and reports every fault
// at once, each by its path, with the likely name where a field is misspelt.
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

// Fault is one thing wrong with a document.
type Fault struct {
	// Path locates the fault, such as "$.models[0].version".
	Path string `json:"path"`
	// Message says what is wrong in one sentence.
	Message string `json:"message"`
}

// Faults is an error that lists everything wrong with a document.
type Faults []Fault

// Error implements error, one fault a line.
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

// Err returns f as an error, nil when it is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Decode decodes body into the struct that target points to. Unknown fields,
// values of a wrong type and malformed text become faults; fields without a
// fault are set all the same, so that the caller can go on to check values.
func Decode(body []byte, target any) Faults {
	var faults Faults
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		faults.Add("$", "not valid JSON: %v", err)
		return faults
	}
	if _, err := dec.Token(); err != io.EOF {
		faults.Add("$", "text after the end of the document")
		return faults
	}
	decodeValue("$", tree, reflect.ValueOf(target).Elem(), &faults)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func decodeValue(path string, tree any, v reflect.Value, faults *Faults) {
	if v.Addr().Type().Implements(unmarshalerType) {
		decodeLeaf(path, tree, v, faults)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		decodeStruct(path, tree, v, faults)
	case reflect.Slice:
		decodeSlice(path, tree, v, faults)
	case reflect.Map:
		decodeMap(path, tree, v, faults)
	case reflect.Pointer:
		if tree == nil {
			return
		}
		v.Set(reflect.New(v.Type().Elem()))
		decodeValue(path, tree, v.Elem(), faults)
	default:
		decodeLeaf(path, tree, v, faults)
	}
}

func decodeStruct(path string, tree any, v reflect.Value, faults *Faults) {
	obj, ok := tree.(map[string]any)
	if !ok {
		faults.Add(path, "want an object, got %s", kindOf(tree))
		return
	}
	fields := map[string]int{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	for name, sub := range obj {
		i, known := fields[name]
		if !known {
			faults.Add(path+"."+name, "unknown field%s", suggestion(name, fields))
			continue
		}
		decodeValue(path+"."+name, sub, v.Field(i), faults)
	}
}

func decodeSlice(path string, tree any, v reflect.Value, faults *Faults) {
	list, ok := tree.([]any)
	if !ok {
		faults.Add(path, "want a list, got %s", kindOf(tree))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, sub := range list {
		decodeValue(fmt.Sprintf("%s[%d]", path, i), sub, v.Index(i), faults)
	}
}

func decodeMap(path string, tree any, v reflect.Value, faults *Faults) {
	obj, ok := tree.(map[string]any)
	if !ok {
		faults.Add(path, "want an object, got %s", kindOf(tree))
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(obj)))
	for name, sub := range obj {
		elem := reflect.New(v.Type().Elem()).Elem()
		decodeValue(path+"."+name, sub, elem, faults)
		v.SetMapIndex(reflect.ValueOf(name), elem)
	}
}

func decodeLeaf(path string, tree any, v reflect.Value, faults *Faults) {
	raw, err := json.Marshal(tree)
	if err == nil {
		err = json.Unmarshal(raw, v.Addr().Interface())
	}
	if err == nil {
		return
	}
	if _, mismatch := err.(*json.UnmarshalTypeError); mismatch {
		faults.Add(path, "want %s, got %s", wantOf(v.Kind()), kindOf(tree))
		return
	}
	faults.Add(path, "%s", err.Error())
}

func wantOf(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint32:
		return "a whole number"
	default:
		return "a number"
	}
}

func kindOf(tree any) string {
	switch t := tree.(type) {
	case nil:
		return "null"
	case bool:
		return "true or false"
	case string:
		return "text"
	case json.Number:
		return "the number " + t.String()
	case []any:
		return "a list"
	default:
		return "an object"
	}
}

// suggestion names the known field nearest to name, when one is near.
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
