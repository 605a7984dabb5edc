package strictjson

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type inner struct {
	Size  int               `json:"size"`
	Names []string          `json:"names"`
	Tags  map[string]string `json:"tags"`
}

type outer struct {
	Title string  `json:"title"`
	Inner inner   `json:"inner"`
	List  []inner `json:"list"`
	Limit *int    `json:"limit"`
}

func TestDecodeReportsEveryFault(t *testing.T) {
	var v outer
	faults := Decode([]byte(`{"titel": "x", "inner": {"size": "big", "names": ["a", 2], "tags": {"k": true}}, "list": [{}, {"size": 1.5}], "limit": 3}`), &v)
	assert.DeepEqual(t, []Fault(faults), []Fault{
		{"$.inner.names[1]", "want a string, got the number 2"},
		{"$.inner.size", "want an integer, got a string"},
		{"$.inner.tags.k", "want a string, got a boolean"},
		{"$.list[1].size", "want an integer, got the number 1.5"},
		{"$.titel", `unknown field; did you mean "title"?`},
	})
	assert.Equal(t, *v.Limit, 3)
	assert.Equal(t, v.Inner.Names[0], "a")
}

func TestDecodeRejectsMalformedText(t *testing.T) {
	for text, want := range map[string]string{
		`{"title": }`: "not valid JSON",
		`{} {}`:       "unexpected data after the end",
		`[]`:          "want an object, got an array",
		``:            "not valid JSON",
	} {
		var v outer
		faults := Decode([]byte(text), &v)
		assert.Equal(t, len(faults), 1, text)
		assert.Assert(t, strings.Contains(faults.Error(), want), "%s: %s", text, faults)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"title":"a","list":[{"size":1}]}`))
	f.Add([]byte(`{"list":{"size":null}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var v outer
		for _, fault := range Decode(b, &v) {
			assert.Assert(t, strings.HasPrefix(fault.Path, "$") && fault.Message != "")
		}
	})
}
