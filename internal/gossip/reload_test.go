package gossip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func testKey(digit byte) []byte { return bytes.Repeat([]byte{digit}, 32) }

// After a reload the first key must encrypt, all new keys must decrypt, and a key that was withdrawn must not.
func TestReplaceKeys(t *testing.T) {
	membership := newTestFleet(t, Config{Keys: [][]byte{testKey(1), testKey(2)}})
	require.NoError(t, membership.replaceKeys([][]byte{testKey(3), testKey(1)}))
	require.Equal(t, testKey(3), membership.keyring.GetPrimaryKey())
	require.ElementsMatch(t, [][]byte{testKey(1), testKey(3)}, membership.keyring.GetKeys())
}

// A reload must not enable or disable encryption: members could not communicate until all of them have reloaded.
func TestReplaceKeysKeepsEncryption(t *testing.T) {
	encrypted := newTestFleet(t, Config{Keys: [][]byte{testKey(1)}})
	require.ErrorIs(t, encrypted.replaceKeys(nil), errEncryptionFixed)
	plaintext := newTestFleet(t, Config{})
	require.ErrorIs(t, plaintext.replaceKeys([][]byte{testKey(1)}), errEncryptionFixed)
	require.NoError(t, plaintext.replaceKeys(nil))
}
