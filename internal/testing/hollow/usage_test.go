package hollow

import (
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// The usage of this process shows the bytes that pass over its sockets, its processor time and its memory.
func TestUsageOfThisProcess(t *testing.T) {
	const sent = 30000 // bytes
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	out, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	in, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	before, err := ReadUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	out.Write(make([]byte, sent))
	if _, err := io.ReadFull(in, make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	after := before
	for after.CPU < before.CPU+200*time.Millisecond { // each reading of the usage takes processor time
		if after, err = ReadUsage(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	seconds := after.At.Sub(before.At).Seconds()
	rates := after.Since(&before)
	if rates.Received*seconds < sent-1 || rates.Written*seconds < sent-1 {
		t.Errorf("rates %+v in %.3f s, want %d bytes in each direction", rates, seconds, sent)
	}
	if rates.Cores*seconds < 0.199 {
		t.Errorf("rates %+v in %.3f s, want 0.2 s of processor time", rates, seconds)
	}
	if rates.Resident < 1<<20 {
		t.Errorf("resident memory %.0f bytes, want at least 1 MiB", rates.Resident)
	}
	if segments, bytes := after.Segments(&before); bytes < 2*sent || segments < 2 || segments > 1000 {
		t.Errorf("%g segments with %g bytes, want 2 to 1000 with at least %d bytes", segments, bytes, 2*sent)
	}
}

// The usage of a process that does not exist cannot be read.
func TestUsageOfMissingProcess(t *testing.T) {
	if usage, err := ReadUsage(1 << 30); err == nil {
		t.Errorf("usage %+v, want an error", usage)
	}
}
