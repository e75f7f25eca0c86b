package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"
)

// dataFrameOf returns a data frame with a payload of the given size, and the encoded frame.
func dataFrameOf(payloadBytes int) (f dataFrame, encoded []byte) {
	f = dataFrame{sender: 1764576000000, receiver: 1764576000001, topic: "stream", payload: bytes.Repeat([]byte{0xa5}, payloadBytes)}
	return f, f.appendTo(nil)
}

// payloadSizes are the sizes of payloads for which the benchmarks run, in bytes.
var payloadSizes = []int{60, 2000, 5000, 10000, 20000}

// BenchmarkScaleFrameWrite encodes a data frame into a buffer that is reused.
func BenchmarkScaleFrameWrite(b *testing.B) {
	for _, n := range payloadSizes {
		b.Run(fmt.Sprintf("payload=%d", n), func(b *testing.B) {
			f, encoded := dataFrameOf(n)
			var buffer []byte
			b.ReportAllocs()
			for b.Loop() {
				buffer = f.appendTo(buffer[:0])
			}
			if !bytes.Equal(buffer, encoded) {
				b.Fatalf("got %d bytes that differ from the %d bytes of the first encoding", len(buffer), len(encoded))
			}
			b.ReportMetric(float64(len(buffer)), "B/msg")
		})
	}
}

// BenchmarkScaleFrameRead reads a data frame from a buffered stream, with its checksum.
func BenchmarkScaleFrameRead(b *testing.B) {
	for _, n := range payloadSizes {
		b.Run(fmt.Sprintf("payload=%d", n), func(b *testing.B) {
			_, encoded := dataFrameOf(n)
			source := bytes.NewReader(encoded)
			in := bufio.NewReaderSize(source, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(encoded)
				in.Reset(source)
				f, err := readFrame(in, maxFrameBytes)
				if data, ok := f.(dataFrame); err != nil || !ok || len(data.payload) != n {
					b.Fatal(len(data.payload), err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "B/msg")
		})
	}
}
