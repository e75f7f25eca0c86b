package mixed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// controlBufferSize is the size in bytes of the buffer for the control message with a timestamp.
const controlBufferSize = 64

// timestampReader reads a TCP connection and records when the kernel received the bytes of the last read. On a busy machine this
// process may read them much later.
type timestampReader struct {
	raw        syscall.RawConn
	control    [controlBufferSize]byte
	receivedAt time.Time // by the wall clock; the time of the read if the kernel reports no timestamp
}

// enableTimestamps enables kernel timestamps of the bytes received on a connection, or on all connections that a listener accepts.
func enableTimestamps(socket syscall.Conn) (*timestampReader, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	return &timestampReader{raw: raw}, errors.Join(controlErr, err)
}

// Read reads the bytes that have arrived, or waits for some if there are none.
func (r *timestampReader) Read(b []byte) (n int, err error) {
	var controlBytes int
	waitErr := r.raw.Read(func(descriptor uintptr) bool {
		for n, controlBytes, _, _, err = unix.Recvmsg(int(descriptor), b, r.control[:], 0); err == unix.EINTR; {
			n, controlBytes, _, _, err = unix.Recvmsg(int(descriptor), b, r.control[:], 0)
		}
		return err != unix.EAGAIN
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	r.receivedAt = timestampOf(r.control[:controlBytes])
	return n, nil
}

// timestampOf returns the timestamp in a control message, or the current time if it has none.
func timestampOf(control []byte) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Now()
	}
	for _, message := range messages {
		var timestamp unix.Timespec
		isTimestamp := message.Header.Level == unix.SOL_SOCKET && message.Header.Type == unix.SCM_TIMESTAMPNS
		if !isTimestamp || binary.Read(bytes.NewReader(message.Data), binary.NativeEndian, &timestamp) != nil {
			continue
		}
		return time.Unix(timestamp.Unix())
	}
	return time.Now()
}

// The timestamp of bytes that stay unread for a while is the time at which the kernel received them, before and after the accept.
func TestTimestampReaderReportsArrivalTime(t *testing.T) {
	const unreadTime = 50 * time.Millisecond
	listener := listen(t)
	defer listener.Close()
	if _, err := enableTimestamps(listener); err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var reader *timestampReader
	for _, text := range []string{"before it is accepted", "later"} {
		before := time.Now()
		if _, err := client.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		written := time.Now()
		time.Sleep(unreadTime)
		if reader == nil {
			server, err := listener.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			if reader, err = enableTimestamps(server); err != nil {
				t.Fatal(err)
			}
		}
		got := make([]byte, 100)
		n, err := reader.Read(got)
		if err != nil || string(got[:n]) != text {
			t.Fatalf("read %q, %v; want %q", got[:n], err, text)
		}
		if at := reader.receivedAt; at.Before(before.Add(-time.Millisecond)) || at.After(written.Add(unreadTime/2)) {
			t.Errorf("%q: timestamp is %v after the write, want at most half of the time before the read", text, at.Sub(written))
		}
	}
	client.Close()
	if n, err := reader.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after the end: read %d bytes, %v; want 0, EOF", n, err)
	}
}
