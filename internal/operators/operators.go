// Package operators reads the operators' file, a TOML file with the settings of the fleet, checks it and fills in
// defaults. The platform's configuration cannot hold these settings. Without the file there is no fleet.
package operators

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"falldeal/internal/configcheck"

	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes is the maximum size of the operators' file and of the key file.
const maxFileBytes = 1 << 20

// File is the operators' file. If table [fleet] is absent, the other tables must be absent too.
type File struct {
	Fleet          *Fleet          // table [fleet]; nil: absent
	Overload       *Overload       // table [overload]; nil: absent
	Trace          *Trace          // table [trace]; nil: absent
	FaultInjection *FaultInjection // table [drill]; nil: absent
}

// Load reads the operators' file at path and the key file that it names. The error is a wrapped *configcheck.KeyError if a
// value is missing or invalid.
func Load(path string) (*File, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	file, err := Parse(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("operators' file %s: %w", path, err)
	}
	return file, nil
}

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // it contains the path
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, want at most %d", path, info.Size(), maxFileBytes)
	}
	return os.ReadFile(path) //nolint:gosec,wrapcheck // the operator names the file; an error contains the path
}

// resolvePath returns path if it is absolute, and otherwise dir joined with path.
func resolvePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// Parse parses the text of an operators' file. Paths in it are relative to dir, unless they are absolute. The error is a
// *configcheck.KeyError if a value is missing or invalid.
func Parse(text []byte, dir string) (*File, error) {
	// The decoder's errors contain this type and the names of its fields. The type must stay anonymous, and the names must
	// not change.
	var tables struct {
		Fleet    *table    `toml:"fleet"`
		Overload *overload `toml:"overload"`
		Trace    *trace    `toml:"trace"`
		Drill    *drill    `toml:"drill"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&tables); err != nil {
		return nil, decodeError(err)
	}
	if tables.Fleet == nil {
		err := requireAbsent(
			tablePresence{"overload", tables.Overload != nil},
			tablePresence{"trace", tables.Trace != nil},
			tablePresence{"drill", tables.Drill != nil})
		if err != nil {
			return nil, err
		}
		return &File{}, nil
	}
	var file File
	var err error
	if file.Fleet, err = tables.Fleet.parse(dir); err != nil {
		return nil, err
	}
	if file.Overload, err = tables.Overload.parse(); err != nil {
		return nil, err
	}
	if file.FaultInjection, err = tables.Drill.parse(); err != nil {
		return nil, err
	}
	if file.Trace, err = tables.Trace.parse(dir); err != nil {
		return nil, err
	}
	return &file, nil
}

// tablePresence says whether the file contains a table.
type tablePresence struct {
	name    string
	present bool
}

// requireAbsent returns a *configcheck.KeyError for the first table that is present. It is called if table [fleet] is
// absent.
func requireAbsent(tables ...tablePresence) error {
	for _, table := range tables {
		if table.present {
			return configcheck.Errorf(table.name, "requires table [fleet]")
		}
	}
	return nil
}

// decodeError converts an error of the TOML library into one with the key, if known, and the line.
func decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := strict.Errors[0]
		line, _ := unknown.Position()
		return configcheck.Errorf(strings.Join(unknown.Key(), "."), "unknown key (line %d)", line)
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err
	}
	line, _ := decode.Position()
	if key := strings.Join(decode.Key(), "."); key != "" {
		return configcheck.Errorf(key, "%w (line %d)", decode, line)
	}
	return fmt.Errorf("line %d: %w", line, decode)
}
