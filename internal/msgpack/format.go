package msgpack

// Formats of MessagePack. The format is the first byte of a value. Formats with Fix in their name hold a number or a length in their
// low bits, except formatFixExt1 to formatFixExt16, whose names state the length of the data in bytes. In the other names, the number
// is the width in bits of the number or length that follows.
const (
	formatFixIntEnd   = 0x80 // each lower format is an integer from 0 to 127
	formatFixMap      = 0x80
	formatFixArray    = 0x90
	formatFixText     = 0xa0
	formatNil         = 0xc0
	formatFalse       = 0xc2
	formatTrue        = 0xc3
	formatBin8        = 0xc4
	formatBin16       = 0xc5
	formatBin32       = 0xc6
	formatExt8        = 0xc7
	formatExt32       = 0xc9
	formatFloat32     = 0xca
	formatFloat64     = 0xcb
	formatUint8       = 0xcc
	formatUint16      = 0xcd
	formatUint32      = 0xce
	formatUint64      = 0xcf
	formatInt8        = 0xd0
	formatInt64       = 0xd3
	formatFixExt1     = 0xd4
	formatFixExt16    = 0xd8
	formatText8       = 0xd9
	formatText16      = 0xda
	formatText32      = 0xdb
	formatArray16     = 0xdc
	formatArray32     = 0xdd
	formatMap16       = 0xde
	formatMap32       = 0xdf
	formatNegativeFix = 0xe0 // this and each higher format is an integer from -32 to -1
)

// Largest lengths that the fix formats can hold. Each is also the mask of the bits that hold the length.
const (
	maxFixArray = 1<<4 - 1
	maxFixMap   = 1<<4 - 1
	maxFixText  = 1<<5 - 1
)

// isFixMap, isFixArray and isFixText report whether a format holds the length of a map, an array or a text in its low bits.
func isFixMap(format byte) bool   { return format&^maxFixMap == formatFixMap }
func isFixArray(format byte) bool { return format&^maxFixArray == formatFixArray }
func isFixText(format byte) bool  { return format&^maxFixText == formatFixText }

// between reports whether a format is in the range from first to last, both included.
func between(format, first, last byte) bool { return first <= format && format <= last }

// widthFrom returns the number of bytes that follow a format. first is the first format of a range; it is followed by one byte, and
// each further format of the range by twice as many as the one before.
func widthFrom(format, first byte) int { return 1 << (format - first) }
