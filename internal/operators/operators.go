// Package operators reads the operators' TOML file, checks it and fills in defaults. The file holds what the platform's
// configuration has no place for; without it there is no fleet.
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

// maxFileBytes bounds the file and each file that it names.
const maxFileBytes = 1 << 20

// File is the operators' file. All tables but [fleet] need that one.
type File struct {
	Fleet          *Fleet          // table [fleet]; nil: absent
	Overload       *Overload       // table [overload]; nil: absent
	Trace          *Trace          // table [trace]; nil: absent
	FaultInjection *FaultInjection // table [drill]; nil: absent
}

// Load reads the file at path, and the files that it names. A value that is missing or wrong is a *configcheck.KeyError.
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
		return nil, err //nolint:wrapcheck // it names the path
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, want at most %d", path, info.Size(), maxFileBytes)
	}
	return os.ReadFile(path) //nolint:gosec,wrapcheck // the operator names the file; an error names the path
}

// resolvePath returns a path that a file in dir names.
func resolvePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// Parse reads the text of a file. Paths in it are relative to dir, unless they are absolute. A value that is missing or
// wrong is a *configcheck.KeyError.
func Parse(text []byte, dir string) (*File, error) {
	// Errors of the decoder print this type and its fields: it has to stay anonymous, and the names as they are.
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
			tableGiven{"overload", tables.Overload != nil},
			tableGiven{"trace", tables.Trace != nil},
			tableGiven{"drill", tables.Drill != nil})
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

// tableGiven says whether a table is in the file.
type tableGiven struct {
	name  string
	given bool
}

// requireAbsent returns a *configcheck.KeyError for the first table that is given without the table [fleet].
func requireAbsent(tables ...tableGiven) error {
	for _, table := range tables {
		if table.given {
			return configcheck.Errorf(table.name, "needs the table fleet")
		}
	}
	return nil
}

// decodeError turns an error of the TOML library into one that names the key and line.
func decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := strict.Errors[0]
		line, _ := unknown.Position()
		return configcheck.Errorf(strings.Join(unknown.Key(), "."), "no such key (line %d)", line)
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
