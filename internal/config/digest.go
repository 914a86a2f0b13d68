package config

import (
	"fmt"
	"hash/fnv"
	"os"

	"falldeal/internal/configcheck"

	"github.com/valyala/fastjson"
)

// Digest returns a hash of the settings in the file at path, or at GW_CONFIG if path is empty. Instances that must make the
// same decisions have the same digest, provided that their settings are written in the same way: the hash is of the text
// without white space, so that keys in another order change it. It does not cover what may differ between such instances:
// what is outside the settings, such as addresses, and whether a server is warming up.
func Digest(path string) (uint64, error) {
	if path == "" {
		path = os.Getenv(envPath)
	}
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return 0, fmt.Errorf("configuration: %w", err)
	}
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return 0, fmt.Errorf("configuration %s: %w", path, err)
	}
	settings := value.Get("settings")
	if settings == nil {
		return 0, fmt.Errorf("configuration %s: %w", path, &configcheck.KeyError{Key: "settings", Err: configcheck.ErrMissing})
	}
	if family := settings.Get("FamilyInfo"); family != nil {
		family.Del("Cold")
	}
	hash := fnv.New64a()
	_, _ = hash.Write(settings.MarshalTo(nil)) // never returns an error
	return hash.Sum64(), nil
}
