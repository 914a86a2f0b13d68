package gossip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func testKey(digit byte) []byte { return bytes.Repeat([]byte{digit}, 32) }

// The first key must encrypt after a reload, all of them must decrypt, and no other one.
func TestReplaceKeys(t *testing.T) {
	member := newTestFleet(t, Config{Keys: [][]byte{testKey(1), testKey(2)}})
	require.NoError(t, member.replaceKeys([][]byte{testKey(3), testKey(1)}))
	require.Equal(t, testKey(3), member.keyring.GetPrimaryKey())
	require.ElementsMatch(t, [][]byte{testKey(1), testKey(3)}, member.keyring.GetKeys())
}

// A reload must not begin or end encryption: members would not understand each other until all of them have reloaded.
func TestReplaceKeysKeepsEncryption(t *testing.T) {
	encrypted := newTestFleet(t, Config{Keys: [][]byte{testKey(1)}})
	require.ErrorIs(t, encrypted.replaceKeys(nil), errEncryptionFixed)
	plaintext := newTestFleet(t, Config{})
	require.ErrorIs(t, plaintext.replaceKeys([][]byte{testKey(1)}), errEncryptionFixed)
	require.NoError(t, plaintext.replaceKeys(nil))
}
