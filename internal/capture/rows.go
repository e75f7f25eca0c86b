package capture

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/klauspost/compress/zstd"

	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/routing"
)

// maxRawBytes bounds the length of a frame's rows after decompression. It guards against a payload that decompresses to more than fits
// into memory.
const maxRawBytes = 64 << 20

// encoder and decoder compress and decompress the rows of all frames. Their constructors fail only for invalid options, and these
// options are constants.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRawBytes))
)

// errRowsTruncated is the error for a payload that ends in the middle of a row.
var errRowsTruncated = errors.New("payload ends within a row")

// appendRows appends compressed rows to a buffer, together with the processor time that the process used for them. Times are stored in
// microseconds, and each arrival as the difference from the previous one.
func appendRows(buffer []byte, rows []Row, cpu time.Duration) []byte {
	raw := binary.AppendUvarint(nil, uint64(cpu.Microseconds()))
	last := time.Duration(0)
	for i := range rows {
		at := rows[i].At.Round(time.Microsecond)
		raw = binary.AppendVarint(raw, int64((at-last)/time.Microsecond))
		raw = appendFields(raw, &rows[i])
		last = at
	}
	return encoder.EncodeAll(raw, buffer)
}

// appendFields appends all fields of a row except the arrival.
func appendFields(raw []byte, row *Row) []byte {
	raw = binary.LittleEndian.AppendUint64(raw, row.Object)
	fields := [...]uint64{
		uint64(row.Part),
		uint64(row.Group),
		uint64(row.Class + 1), // -1 is stored as 0
		uint64(row.Zone),
		uint64(row.RequestBytes),
		uint64(row.ResponseBytes),
		unsignedMicros(row.FirstByte),
		unsignedMicros(row.Complete),
	}
	for _, field := range fields {
		raw = binary.AppendUvarint(raw, field)
	}
	return append(raw, byte(row.Disposition), byte(row.Fill), row.Attempts)
}

// unsignedMicros returns a duration in microseconds, or 0 if it is negative.
func unsignedMicros(duration time.Duration) uint64 {
	return uint64(max(0, duration.Microseconds()))
}

// decodeRows appends the rows of one frame to a list and returns the processor time for them. If it returns an error, the returned list may
// contain some of the rows.
func decodeRows(list []Row, payload []byte, count int) ([]Row, time.Duration, error) {
	raw, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return list, 0, err
	}
	fields := &fieldDecoder{raw: raw}
	cpu := fields.micros()
	at := time.Duration(0)
	for range count {
		at += time.Duration(fields.varint()) * time.Microsecond
		row := fields.row()
		row.At = at
		if fields.err != nil {
			return list, 0, fields.err
		}
		list = append(list, row)
	}
	return list, cpu, fields.err
}

// fieldDecoder decodes one field after another. After the first error all decoded fields are 0.
type fieldDecoder struct {
	raw []byte // bytes that are not decoded yet
	err error  // the first error
}

// take returns the next count bytes and removes them from raw. If fewer bytes are left, or count is not positive, it stores an error and
// returns nil.
func (d *fieldDecoder) take(count int) []byte {
	if count <= 0 || len(d.raw) < count {
		d.raw, d.err = nil, errRowsTruncated
		return nil
	}
	taken := d.raw[:count]
	d.raw = d.raw[count:]
	return taken
}

// varint decodes a signed number.
func (d *fieldDecoder) varint() int64 {
	value, size := binary.Varint(d.raw)
	if d.take(size) == nil {
		return 0
	}
	return value
}

// uvarint decodes an unsigned number.
func (d *fieldDecoder) uvarint() uint64 {
	value, size := binary.Uvarint(d.raw)
	if d.take(size) == nil {
		return 0
	}
	return value
}

// micros decodes a duration in microseconds.
func (d *fieldDecoder) micros() time.Duration {
	return time.Duration(d.uvarint()) * time.Microsecond
}

// row decodes all fields of a row except the arrival.
func (d *fieldDecoder) row() (row Row) {
	if object := d.take(8); object != nil {
		row.Object = binary.LittleEndian.Uint64(object)
	}
	row.Part = uint32(d.uvarint())
	row.Group = uint32(d.uvarint())
	row.Class = int16(d.uvarint()) - 1
	row.Zone = int16(d.uvarint())
	row.RequestBytes = uint32(d.uvarint())
	row.ResponseBytes = uint32(d.uvarint())
	row.FirstByte = d.micros()
	row.Complete = d.micros()
	if last := d.take(3); last != nil {
		row.Disposition, row.Fill, row.Attempts = director.Disposition(last[0]), routing.Fill(last[1]), last[2]
	}
	return row
}
