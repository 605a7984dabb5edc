package docscheck

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/settings"
	"github.com/verbenabend/verbenabend/internal/telemetry"
)

const root = "../.."

func read(t *testing.T, file string) string {
	raw, err := os.ReadFile(filepath.Join(root, file))
	assert.NilError(t, err)
	return string(raw)
}

// pages returns every page of the repository, relative to its root.
func pages(t *testing.T) []string {
	var out []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		assert.NilError(t, err)
		out = append(out, files...)
	}
	return out
}

func TestEventsPageMatchesCatalogue(t *testing.T) {
	rows := regexp.MustCompile(`(?m)^\| (\d+ \| \w+ \| [^|]+) \|`).FindAllStringSubmatch(read(t, "docs/EVENTS.md"), -1)
	var page, code []string
	for _, row := range rows {
		page = append(page, row[1])
	}
	for _, k := range eventlog.Kinds {
		code = append(code, fmt.Sprintf("%d | %s | %s", k.ID, k.Level, k.Text))
	}
	assert.DeepEqual(t, page, code)
}

func TestMetricsPageMatchesCode(t *testing.T) {
	var page []string
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)").FindAllStringSubmatch(read(t, "docs/METRICS.md"), -1) {
		page = append(page, row[1])
	}
	code := slices.Sorted(slices.Values(telemetry.Names))
	slices.Sort(page)
	assert.DeepEqual(t, page, code)
}

var link = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

func TestLinksLeadSomewhere(t *testing.T) {
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range link.FindAllStringSubmatch(string(raw), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.NilError(t, err, "%s links to %s", page, m[1])
		}
	}
}

var (
	testName = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w+`)
	scenario = regexp.MustCompile(`scenarios/([\w-]+\.txtar)`)
	command  = regexp.MustCompile(`go run (\./cmd/\w+|\./lab) (\w+)`)
)

// Tests, scenarios and commands that a page names exist.
func TestNamedProofsExist(t *testing.T) {
	out, err := exec.Command("git", "-C", root, "grep", "--untracked", "-hoE", `func (Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]+`, "--", "*_test.go").Output()
	assert.NilError(t, err)
	defined := string(out)
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range testName.FindAllString(string(raw), -1) {
			assert.Assert(t, strings.Contains(defined, "func "+name+"\n"), "%s names %s, which does not exist", page, name)
		}
		for _, m := range scenario.FindAllStringSubmatch(string(raw), -1) {
			_, err := os.Stat(filepath.Join(root, "scenarios", m[1]))
			assert.NilError(t, err, page)
		}
	}
}

// Commands that a page names are offered by the program.
func TestNamedCommandsExist(t *testing.T) {
	sources := map[string]string{
		"./lab":             read(t, "lab/main.go"),
		"./cmd/verbenabend": read(t, "internal/cli/operatorcli/main.go"), "./cmd/verbenabendd": read(t, "internal/cli/daemoncli/main.go"),
	}
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range command.FindAllStringSubmatch(string(raw), -1) {
			declared := regexp.MustCompile(`(?i)\b` + m[2] + `\s+\S+\s+` + "`cmd:")
			assert.Assert(t, declared.MatchString(sources[m[1]]), "%s names `%s`", page, m[0])
		}
	}
}

func TestSettingsPageMatchesCode(t *testing.T) {
	var page []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([\\w.]+)`").FindAllStringSubmatch(read(t, "docs/SETTINGS.md"), -1) {
		page = append(page, row[1])
	}
	code := fieldPaths("", reflect.TypeFor[settings.Settings]())
	slices.Sort(page)
	slices.Sort(code)
	assert.DeepEqual(t, page, code)
}

// fieldPaths lists the JSON paths of a struct's leaves.
func fieldPaths(prefix string, typ reflect.Type) []string {
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return []string{strings.TrimSuffix(prefix, ".")}
	}
	var out []string
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		out = append(out, fieldPaths(prefix+name+".", typ.Field(i).Type)...)
	}
	return out
}
