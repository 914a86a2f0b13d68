package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/memberlist"
)

// errEncryptionFixed is returned for a reload that adds the first key or removes the last one.
var errEncryptionFixed = errors.New("fleet.key_file: enabling or disabling encryption requires a restart")

// ReloadableConfig is the part of Config that a reload may change.
type ReloadableConfig struct {
	Seeds  []string
	Keys   [][]byte
	Digest uint64 // digest of the server's configuration
}

// Reload replaces the reloadable part of the configuration. It never blocks: it replaces a reload that was not taken yet.
// Only one goroutine may call it.
func (f *Fleet) Reload(config ReloadableConfig) { replaceLatest(f.reloads, config) }

// applyReload applies a reload. It runs in the goroutine that owns the view.
func (o *viewOwner) applyReload(config ReloadableConfig) {
	o.rejoin.SetSeeds(config.Seeds)
	if o.self.SetConfig(config.Digest) {
		o.publishRecord()
	}
	if err := o.replaceKeys(config.Keys); err != nil {
		o.log.WithError(err).Error("encryption keys of fleet not replaced, keeping current ones")
	}
}

// newKeyring returns a keyring whose first key encrypts, or nil if there are no keys.
func newKeyring(keys [][]byte) (*memberlist.Keyring, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	keyring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	return keyring, nil
}

// replaceKeys replaces the encryption keys. The first one encrypts, all of them decrypt. The keyring then holds no other key.
func (f *Fleet) replaceKeys(keys [][]byte) error {
	if (len(keys) == 0) != (f.keyring == nil) {
		return errEncryptionFixed
	}
	if f.keyring == nil {
		return nil
	}
	for _, key := range keys {
		if err := f.keyring.AddKey(key); err != nil {
			return fmt.Errorf("adding a key: %w", err)
		}
	}
	if err := f.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("using the first key: %w", err)
	}
	return f.removeOtherKeys(keys)
}

// removeOtherKeys removes the keys from the keyring that are not among keys.
func (f *Fleet) removeOtherKeys(keys [][]byte) error {
	for _, old := range f.keyring.GetKeys() {
		if slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, old) }) {
			continue
		}
		if err := f.keyring.RemoveKey(old); err != nil {
			return fmt.Errorf("removing a key: %w", err)
		}
	}
	return nil
}
