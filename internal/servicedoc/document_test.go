package servicedoc

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/documents/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		body, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, err = NewAccepted(1, body)
		assert.NilError(t, err, file)
	}
}

func TestFaultsAreNamedByPath(t *testing.T) {
	valid := fmt.Sprintf(`{"service":"s","kind":"model","organisations":[{"name":"o","key_sha256":[%q]}],"models":[{"name":"m","version":"1"}]}`, digest("k"))
	for _, c := range []struct{ old, new, want string }{
		{`"service":"s"`, `"service":"S s"`, "$.service"},
		{`"kind":"model"`, `"kind":"modal"`, "$.kind"},
		{`"kind":"model"`, `"kind":"plain"`, "$.models"},
		{`"version":"1"`, `"version":""`, "$.models[0].version"},
		{`"name":"m"`, `"name":"m@2"`, "$.models[0].name"},
		{digest("k"), "12", "$.organisations[0].key_sha256[0]"},
		{`"name":"o"`, `"name":"o","share":-1`, "$.organisations[0].share"},
		{`"service"`, `"budgets":{"hedge_percent":101},"service"`, "$.budgets.hedge_percent"},
		{`"service"`, `"classes":[{"name":"a","priority":10,"max_wait":"1s"}],"service"`, "$.classes[0].priority"},
		{`"service"`, `"classes":[{"name":"a","priority":1,"max_wait":1}],"service"`, "$.classes[0].max_wait"},
		{`"service"`, `"calls":[{"method":"post","path_prefix":"x","repeatable":false}],"service"`, "$.calls[0].method"},
		{`"service"`, `"piece":{"bytes":-1},"service"`, "$.piece.bytes"},
	} {
		_, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.want)
	}
	_, err := Parse([]byte(valid))
	assert.NilError(t, err)
}

func TestKeyBelongsToOneOrganisationOnly(t *testing.T) {
	body := fmt.Sprintf(`{"service":"s","kind":"plain","organisations":[{"name":"a","key_sha256":[%q]},{"name":"b","key_sha256":[%q]}]}`, digest("k"), digest("k"))
	_, err := Parse([]byte(body))
	assert.ErrorContains(t, err, "the same key belongs to $.organisations[0]")
}

func TestAcceptedAppliesDefaults(t *testing.T) {
	body := fmt.Sprintf(`{"service":"s","kind":"plain","organisations":[{"name":"a","key_sha256":[%q]}],"calls":[{"method":"POST","path_prefix":"/search","repeatable":true}]}`, strings.ToUpper(digest("k")))
	a, err := NewAccepted(7, []byte(body))
	assert.NilError(t, err)
	assert.Equal(t, a.Authenticate("k").Name, "a")
	assert.Assert(t, a.Authenticate("other") == nil)
	assert.Equal(t, a.Document.Organisations[0].Share, 1)
	class, ok := a.Class("")
	assert.Assert(t, ok && class.Name == ClassInteractive)
	assert.Assert(t, a.CallRule("POST", "/search/wax").Repeatable)
	assert.Assert(t, !a.CallRule("POST", "/orders").Repeatable)
	assert.Assert(t, a.CallRule("GET", "/orders").Repeatable)
	assert.Assert(t, a.Supersedes(nil) && !a.Supersedes(a))
}

func TestDurationsHaveUnits(t *testing.T) {
	var d Duration
	assert.NilError(t, json.Unmarshal([]byte(`"250ms"`), &d))
	assert.Equal(t, time.Duration(d), 250*time.Millisecond)
	assert.ErrorContains(t, json.Unmarshal([]byte(`"250"`), &d), "want a number with a unit")
	assert.ErrorContains(t, json.Unmarshal([]byte(`250`), &d), "a string with a unit")
}
