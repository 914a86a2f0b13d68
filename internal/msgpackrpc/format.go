package msgpackrpc

// The first byte of a value, named as in the MessagePack specification. The formats fixint, fixmap, fixarray and fixstr are
// ranges of bytes, from formatX to formatMaxX, whose low bits encode the value or its length. The fixext formats are single
// bytes, each of which stands for one length.
const (
	formatMaxPositiveFixint = 0x7f // the range starts at 0
	formatFixmap            = 0x80
	formatMaxFixmap         = 0x8f
	formatFixarray          = 0x90
	formatMaxFixarray       = 0x9f
	formatFixstr            = 0xa0
	formatMaxFixstr         = 0xbf
	formatNil               = 0xc0
	formatFalse             = 0xc2
	formatTrue              = 0xc3
	formatBin8              = 0xc4
	formatBin16             = 0xc5
	formatBin32             = 0xc6
	formatExt8              = 0xc7
	formatExt32             = 0xc9
	formatFloat32           = 0xca
	formatUint8             = 0xcc
	formatUint16            = 0xcd
	formatUint32            = 0xce
	formatInt8              = 0xd0
	formatInt64             = 0xd3
	formatFixext1           = 0xd4
	formatFixext16          = 0xd8
	formatStr8              = 0xd9
	formatStr16             = 0xda
	formatStr32             = 0xdb
	formatArray16           = 0xdc
	formatArray32           = 0xdd
	formatMap16             = 0xde
	formatMap32             = 0xdf
	formatNegativeFixint    = 0xe0 // the range ends at 0xff
)

const (
	maxFixstrLength = formatMaxFixstr - formatFixstr
	fixLengthMask   = 0x0f // length of a fixarray or fixmap
	fixstrMask      = 0x1f // length of a fixstr
)
