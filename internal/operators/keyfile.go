package operators

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// maxKeys is the maximum number of keys in a key file.
const maxKeys = 8

// keySizes holds the valid sizes of a key in bytes, those of AES-128, AES-192 and AES-256.
var keySizes = []int{16, 24, 32}

// readKeyFile returns the keys in the file at path, which is relative to dir. An empty path means no keys.
func readKeyFile(dir, path string) ([][]byte, error) {
	if path == "" {
		return nil, nil
	}
	text, err := readFile(resolvePath(dir, path))
	if err != nil {
		return nil, err
	}
	return parseKeys(text)
}

// parseKeys parses a key file. Each line holds one key of 16, 24 or 32 bytes in hex digits. Blank lines and lines that
// begin with # are skipped. The first key encrypts, all of them decrypt. Errors never contain text of the file, which is
// secret.
func parseKeys(text []byte) ([][]byte, error) {
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil || !slices.Contains(keySizes, len(key)) {
			return nil, fmt.Errorf("line %d: want 32, 48 or 64 hex digits", number)
		}
		keys = append(keys, key)
	}
	switch {
	case lines.Err() != nil:
		return nil, lines.Err() //nolint:wrapcheck // the caller names the key of the file
	case len(keys) == 0:
		return nil, errors.New("file contains no key")
	case len(keys) > maxKeys:
		return nil, fmt.Errorf("%d keys, want at most %d", len(keys), maxKeys)
	}
	return keys, nil
}
