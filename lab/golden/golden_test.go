package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// A file is read as it was compared: by name, forms as they stand, whatever they hold after the first separator.
func TestRequireAndRead(t *testing.T) {
	t.Chdir(t.TempDir())
	require.NoError(t, os.Mkdir(folder, 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "forms.golden"), []byte("a: 1\nb: x: y \n"), 0o644))
	Require(t, "forms.golden", []Case{{"a", "1"}, {"b", "x: y "}})
	require.Equal(t, map[string]string{"a": "1", "b": "x: y "}, Read(t, "forms.golden", 2))
}
