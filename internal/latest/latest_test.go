package latest

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The receiver must get the newest value once, and no value set before it.
func TestNewestReplacesPending(t *testing.T) {
	value := New[int]()
	require.Empty(t, value.C())
	value.Set(1)
	value.Set(2)
	value.Set(3)
	require.Equal(t, 3, <-value.C())
	require.Empty(t, value.C())
	value.Set(4)
	require.Equal(t, 4, <-value.C())
}
