package msgpackrpc

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readFrame reads a frame that arrives in chunks of chunkSize bytes.
func readFrame(b []byte, chunkSize int) ([]byte, error) {
	frames := frameReader{source: &chunkReader{b, chunkSize}}
	return frames.next()
}

// chunkReader is a stream that yields up to chunkSize bytes per read.
type chunkReader struct {
	data      []byte
	chunkSize int
}

func (r *chunkReader) Read(into []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(into[:min(r.chunkSize, len(into))], r.data)
	r.data = r.data[n:]
	return n, nil
}

// A frame that announces more than the limits allow must be rejected before memory is allocated for it.
func TestOversizedFramesAreRejected(t *testing.T) {
	for _, encoded := range []string{"\xc1", "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
		"\xc6\xff\xff\xff\xff", "\xdb\x7f\xff\xff\xff", "\xde\xff\xff", "\xc9\xff\xff\xff\xff",
		strings.Repeat("\x91", maxDepth+2),
		"\xdc\x10\x00" + strings.Repeat("\xc0", 1<<12), "\xc5\xff\xff" + strings.Repeat("x", 1<<16),
		"\xdc\x00\x80" + strings.Repeat("\xc0", 128)} {
		for _, chunkSize := range []int{1, 7, len(encoded)} {
			frames := frameReader{source: &chunkReader{[]byte(encoded), chunkSize}}
			_, err := frames.next()
			require.Error(t, err, "%.20q", encoded)
			require.NotErrorIs(t, err, io.EOF, "%.20q", encoded) // rejected before the end of the stream
			require.LessOrEqual(t, len(frames.buffer), maxBufferSize)
		}
	}
	for _, encoded := range []string{"", "\x92\x01", "\xa2h", "\xcd\x01", "\xda\x00", "\xd4\x01"} {
		_, err := readFrame([]byte(encoded), 1)
		require.ErrorIs(t, err, io.EOF, "%q", encoded)
	}
	deepest := strings.Repeat("\x91", maxDepth) + "\x90"
	_, err := readFrame([]byte(deepest), 1)
	require.NoError(t, err)
}

// A frame must be found however its bytes are split across reads, and the bytes that follow it must be kept.
func TestFramesSplitAcrossReads(t *testing.T) {
	small := encodeRequest(7, "preview", sampleFields(), []byte("body"))
	large := encodeRequest(8, "preview", sampleFields(), make([]byte, maxBody))
	stream := append(append(append([]byte{}, small...), large...), small...)
	for chunkSize := 1; chunkSize <= len(stream); chunkSize++ {
		var partials []bool
		frames := frameReader{
			source:    &chunkReader{append([]byte{}, stream...), chunkSize},
			onPartial: func(partial bool) error { partials = append(partials, partial); return nil },
		}
		for i, want := range [][]byte{small, large, small} {
			got, err := frames.next()
			require.NoError(t, err, "chunkSize %d, frame %d", chunkSize, i)
			require.Equal(t, want, got, "chunkSize %d, frame %d", chunkSize, i)
		}
		_, err := frames.next()
		require.ErrorIs(t, err, io.EOF)
		for i, partial := range partials {
			require.Equal(t, i%2 == 0, partial) // true and false alternate
		}
	}
}

// A connection must not keep a large buffer between messages: hundreds of idle connections share 32 MB.
func TestIdleConnectionsUseSmallBuffers(t *testing.T) {
	largeFrame := appendBinary(nil, make([]byte, maxFrame-3))
	frames := frameReader{source: &chunkReader{largeFrame, 100}}
	_, err := frames.next()
	require.NoError(t, err)
	_, err = frames.next()
	require.ErrorIs(t, err, io.EOF)
	require.LessOrEqual(t, len(frames.buffer), maxIdleBufferSize)
}
