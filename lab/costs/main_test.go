package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/pprof/profile"
	"github.com/stretchr/testify/require"
)

// sample returns a sample of nanos ns for a stack that is listed from leaf to root.
func sample(nanos int64, stack ...string) *profile.Sample {
	made := &profile.Sample{Value: []int64{1, nanos}}
	for i, function := range stack {
		made.Location = append(made.Location, &profile.Location{
			ID:   uint64(i + 1),
			Line: []profile.Line{{Function: &profile.Function{ID: uint64(i + 1), Name: function}}},
		})
	}
	return made
}

// A sample must be attributed to the part that its innermost matching function belongs to.
func TestSampleBelongsToInnermostMatchingPart(t *testing.T) {
	for want, stack := range map[string][]string{
		"garbage collection": {"runtime.scanobject", "runtime.gcBgMarkWorker"},
		"socket writes":      {"syscall.write", "net.(*conn).Write", "falldeal/internal/writequeue.(*Queue).flush"},
		"write queues":       {"runtime.mallocgc", "falldeal/internal/writequeue.(*Queue).flush"},
		"admission": {
			"runtime.mallocgc", "falldeal/admission.(*Controller).Step", "falldeal/internal/server.(*Server).step",
		},
		"event loop":            {"falldeal/internal/server.(*Server).step"},
		"front-end connections": {"falldeal/internal/msgpackrpc.(*conn).serve"},
		"other":                 {"main.main"},
	} {
		require.Equal(t, want, partOf(sample(1, stack...)))
	}
}

// The report must list the percentage of each part, and fail for a missing file.
func TestReport(t *testing.T) {
	loop := sample(3e9, "falldeal/internal/server.(*Server).step")
	unknown := sample(1e9, "main.main")
	written := &profile.Profile{
		SampleType: []*profile.ValueType{{Type: "samples", Unit: "count"}, {Type: "cpu", Unit: "nanoseconds"}},
		Sample:     []*profile.Sample{loop, unknown},
	}
	for i, s := range written.Sample {
		s.Location[0].ID = uint64(i + 1)
		s.Location[0].Line[0].Function.ID = uint64(i + 1)
		written.Location = append(written.Location, s.Location[0])
		written.Function = append(written.Function, s.Location[0].Line[0].Function)
	}
	path := filepath.Join(t.TempDir(), "cpu.pprof")
	file, err := os.Create(path)
	require.NoError(t, err)
	require.NoError(t, written.Write(file))
	require.NoError(t, file.Close())
	var output bytes.Buffer
	require.NoError(t, report(&output, path))
	require.Equal(t, path+": 4.00 s of CPU time\n"+
		"  event loop                    75.0%\n"+
		"  other                         25.0%\n", output.String())
	require.Error(t, report(&output, filepath.Join(t.TempDir(), "missing")))
}
