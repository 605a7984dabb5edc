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

func readFile(t *testing.T, file string) string {
	raw, err := os.ReadFile(filepath.Join(root, file))
	assert.NilError(t, err)
	return string(raw)
}

// markdownPages returns the paths of all pages of the repository, starting with root.
func markdownPages(t *testing.T) []string {
	var out []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		assert.NilError(t, err)
		out = append(out, files...)
	}
	return out
}

func TestEventsPageMatchesCatalogue(t *testing.T) {
	rows := regexp.MustCompile(`(?m)^\| (\d+ \| \w+ \| [^|]+) \|`).FindAllStringSubmatch(readFile(t, "docs/EVENTS.md"), -1)
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
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)").FindAllStringSubmatch(readFile(t, "docs/METRICS.md"), -1) {
		page = append(page, row[1])
	}
	code := slices.Sorted(slices.Values(telemetry.Names))
	slices.Sort(page)
	assert.DeepEqual(t, page, code)
}

var linkPattern = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

func TestRelativeLinksResolve(t *testing.T) {
	for _, page := range markdownPages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range linkPattern.FindAllStringSubmatch(string(raw), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.NilError(t, err, "%s links to %s", page, m[1])
		}
	}
}

var (
	testNamePattern = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w+`)
	scenarioPattern = regexp.MustCompile(`scenarios/([\w-]+\.txtar)`)
	commandPattern  = regexp.MustCompile(`go run (\./cmd/\w+|\./lab) (\w+)`)
)

// Tests and scenarios that a page names must exist.
func TestNamedTestsAndScenariosExist(t *testing.T) {
	out, err := exec.Command("git", "-C", root, "grep", "--untracked", "-hoE", `func (Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]+`, "--", "*_test.go").Output()
	assert.NilError(t, err)
	defined := string(out)
	for _, page := range markdownPages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range testNamePattern.FindAllString(string(raw), -1) {
			assert.Assert(t, strings.Contains(defined, "func "+name+"\n"), "%s names %s, which does not exist", page, name)
		}
		for _, m := range scenarioPattern.FindAllStringSubmatch(string(raw), -1) {
			_, err := os.Stat(filepath.Join(root, "scenarios", m[1]))
			assert.NilError(t, err, page)
		}
	}
}

// Commands that a page names must be declared by the program.
func TestNamedCommandsExist(t *testing.T) {
	sources := map[string]string{
		"./lab":             readFile(t, "lab/main.go"),
		"./cmd/verbenabend": readFile(t, "internal/cli/operatorcli/main.go"), "./cmd/verbenabendd": readFile(t, "internal/cli/daemoncli/main.go"),
	}
	for _, page := range markdownPages(t) {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range commandPattern.FindAllStringSubmatch(string(raw), -1) {
			declared := regexp.MustCompile(`(?i)\b` + m[2] + `\s+\S+\s+` + "`cmd:")
			assert.Assert(t, declared.MatchString(sources[m[1]]), "%s names `%s`, which is not declared", page, m[0])
		}
	}
}

func TestSettingsPageMatchesCode(t *testing.T) {
	var page []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([\\w.]+)`").FindAllStringSubmatch(readFile(t, "docs/SETTINGS.md"), -1) {
		page = append(page, row[1])
	}
	code := fieldPaths("", reflect.TypeFor[settings.Settings]())
	slices.Sort(page)
	slices.Sort(code)
	assert.DeepEqual(t, page, code)
}

// fieldPaths returns the JSON paths of all leaf fields of a struct.
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
