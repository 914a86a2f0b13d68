package operators

import "falldeal/internal/configcheck"

// Bounds and defaults of the keys in table [trace].
const (
	defaultSample  = 1.0
	defaultTraceMB = 16   // of max_mb
	maxTraceMB     = 1024 // of max_mb
	bytesPerMB     = 1 << 20
)

// Trace is the table [trace]: the file to which spans of state changes of this instance are written.
type Trace struct {
	File     string  // path; a relative path in the table is resolved against the folder of the operators' file
	Sample   float64 // ratio of the episodes (see package tracing) that are written, 0 to 1
	MaxBytes int64   // of the file
}

// trace is the table [trace] as it is decoded. The decoder's errors contain the names of the type and its fields, which
// therefore must not change.
type trace struct {
	File   string   `toml:"file"`
	Sample *float64 `toml:"sample"`
	MB     *int     `toml:"max_mb"`
}

// parse returns the checked table, or nil if it is absent. The path in the table is relative to dir.
func (t *trace) parse(dir string) (*Trace, error) {
	if t == nil {
		return nil, nil
	}
	if t.File == "" {
		return nil, &configcheck.KeyError{Key: "trace.file", Err: configcheck.ErrMissing}
	}
	sample := defaultSample
	megabytes := defaultTraceMB
	if err := setBounded("trace.sample", t.Sample, 0, 1, &sample); err != nil {
		return nil, err
	}
	if err := setBounded("trace.max_mb", t.MB, 1, maxTraceMB, &megabytes); err != nil {
		return nil, err
	}
	return &Trace{File: resolvePath(dir, t.File), Sample: sample, MaxBytes: int64(megabytes) * bytesPerMB}, nil
}
