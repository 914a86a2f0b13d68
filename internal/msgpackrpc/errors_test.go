package msgpackrpc

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller must be able to tell which part and field of a request is invalid without parsing the error text.
func TestInvalidRequestIsAFieldError(t *testing.T) {
	wrongID := sampleFields()
	wrongID["id"] = "x"
	for _, test := range []struct {
		name  string
		frame string
		want  fieldError
	}{
		{"method", "\x94\x00\x07\xc0\x92\x80\xc4\x00", fieldError{part: partMethod, problem: "want a string"}},
		{"parameters", "\x94\x00\x07\xa1x\x91\x80", fieldError{part: partParameters, problem: "want [FIELDS, BODY]"}},
		{"fields", "\x94\x00\x07\xa1x\x92\x01\xc4\x00", fieldError{part: partFields, problem: "want a map"}},
		{"field that is no string", "\x94\x00\x07\xa1x\x92\x81\xa2id\x01\xc4\x00",
			fieldError{part: partField, field: "id", problem: "want a string"}},
		{"wrong value", string(encodeRequest(7, "preview", wrongID, nil)),
			fieldError{part: partField, field: "id", problem: `want 16 to 16 hex digits, got "x"`}},
		{"body", string(encodeRequest(7, "preview", sampleFields(), make([]byte, maxBody+1))),
			fieldError{part: partBody, problem: "want up to 2048 bytes of type bin"}},
	} {
		_, err := parseRequest(mustParse(t, []byte(test.frame)), &methodCache{})
		var fieldError *fieldError
		require.ErrorAs(t, err, &fieldError, test.name)
		require.Equal(t, test.want, *fieldError, test.name)
	}
}

// A malformed frame must yield a frameError with its cause, and not a fieldError.
func TestMalformedFrameIsAFrameError(t *testing.T) {
	for sent, cause := range map[string]error{
		"\xc1":                                  errInvalidFormat,
		"\xc6\xff\xff\xff\xff":                  errFrameTooLong,
		"\xdc\x20\x00":                          errFrameTooLong,
		strings.Repeat("\x91", maxDepth+2):      errFrameTooDeep,
		"\xdc\x00\x80":                          errTooManyValues,
		"\xc0":                                  errNotRPCMessage,
		"\x94\x01\x02\xc0\xc0":                  errNotRPCMessage,
		"\x94\x00\xff\xa1x\x90":                 errNotRPCMessage,
		"\x93\x00\x01\xa1x":                     errNotRPCMessage,
		"\x94\x02\xa1x\x90\xc0":                 errNotRPCMessage,
		"\x94\x00\x01\xa1x\xc6\xff\xff\xff\xff": errFrameTooLong,
	} {
		frame, err := readFrame([]byte(sent), len(sent))
		if err == nil {
			_, err = parseMessage(frame)
		}
		var frameError *frameError
		require.ErrorAs(t, err, &frameError, "%q", sent)
		require.ErrorIs(t, err, cause, "%q", sent)
		var fieldError *fieldError
		require.NotErrorAs(t, err, &fieldError, "%q", sent)
	}
}

// Each part must have a distinct name in error texts.
func TestRequestPartNames(t *testing.T) {
	names := map[string]bool{}
	for part := partMethod; part <= partBody; part++ {
		names[part.String()] = true
	}
	require.Len(t, names, int(partBody)+1)
	require.NotContains(t, names, (partBody + 1).String())
}
