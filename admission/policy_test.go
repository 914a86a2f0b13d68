package admission

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// policyFiles returns the files that deploy/balancer.toml names under policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Policy []string }
	require.NoError(t, toml.Unmarshal(text, &deploy))
	require.NotEmpty(t, deploy.Policy)
	return deploy.Policy
}

// All files that decide are named in the deploy file, and are together no longer than agreed on.
func TestSizeAndWidthOfThePolicyFiles(t *testing.T) {
	const maxLines, maxColumns = 920, 110
	lines := 0
	for _, path := range policyFiles(t) {
		text, err := os.ReadFile("../" + path)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			line = strings.ReplaceAll(strings.TrimSuffix(line, "\n"), "\t", "    ")
			if strings.TrimSpace(line) != "" {
				lines++
			}
			assert.LessOrEqualf(t, len([]rune(line)), maxColumns, "%s: %s", path, line)
		}
	}
	assert.LessOrEqual(t, lines, maxLines, "lines that are not blank")
}

// Names of classes, tenants and clients decide nothing, since none reaches the package: settings and events have no text.
func TestNamesDecideNothing(t *testing.T) {
	for _, v := range []any{Settings{}, Event{}, Class{}, Tenant{}} {
		ty := reflect.TypeOf(v)
		for i := range ty.NumField() {
			if ty.Field(i).Type.Kind() == reflect.String {
				t.Errorf("%s.%s carries text", ty.Name(), ty.Field(i).Name)
			}
		}
	}
}
