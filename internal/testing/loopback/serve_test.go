package loopback

import (
	"io"
	"net"
	"testing"
	"time"
)

// Connections are served while the test runs. The listener and the connections are closed when the test ends.
func TestServeClosesConnectionsWhenTestEnds(t *testing.T) {
	var conn net.Conn
	var addr string
	t.Run("open", func(t *testing.T) {
		addr = Serve(t, func(served net.Conn) { io.Copy(served, served) }).String()
		var err error
		if conn, err = net.Dial("tcp", addr); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 1)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		conn.Write([]byte("x"))
		if _, err := io.ReadFull(conn, got); err != nil || got[0] != 'x' {
			t.Errorf("got %q, %v, want the echoed byte", got, err)
		}
	})
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the test: got %v, want %v", err, io.EOF)
	}
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Error("the listener accepts connections after the test")
	}
}
