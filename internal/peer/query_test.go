package peer

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"
)

// If the other side responds with an error, Query must return a *QueryError with that reason. An error of the connection must not be a
// *QueryError.
func TestQueryErrors(t *testing.T) {
	server, err := OpenQueryServer("127.0.0.1:0", QueryHandlers{
		"fails": func([]byte) ([]byte, error) { return nil, errors.New("out of order") },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	for _, test := range []struct{ topic, reason string }{
		{topic: "fails", reason: "out of order"},
		{topic: "other", reason: `nothing is known of "other" here`},
	} {
		t.Run(test.topic, func(t *testing.T) {
			_, err := Query(server.Addr(), test.topic, nil, 5*time.Second)
			want := QueryError{Addr: server.Addr(), Reason: test.reason}
			var got *QueryError
			if !errors.As(err, &got) || *got != want {
				t.Errorf("got error %v, want %v", err, &want)
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		_, err := Query(freeAddress(t), "fails", nil, 5*time.Second)
		var queryError *QueryError
		if err == nil || errors.As(err, &queryError) {
			t.Errorf("got error %v, want an error of the connection", err)
		}
	})
}

// Close must close connections that have sent no request, instead of waiting for their timeout.
func TestQueryServerCloseEndsConnections(t *testing.T) {
	server, err := OpenQueryServer("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	connection, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	eventually(t, "the connection is accepted", func() bool { return len(server.connections) == 1 })

	began := time.Now()
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > helloTimeout/2 {
		t.Errorf("duration of Close: got %v, want at most %v", took, helloTimeout/2)
	}
	if got := len(server.connections); got != 0 {
		t.Errorf("connections served after Close: got %d, want 0", got)
	}
}

// A response that is damaged, too long or of another kind must result in an error that wraps errInvalidFrame.
func TestQueryRejectsInvalidResponses(t *testing.T) {
	damaged := responseFrame{ok: true, payload: []byte("payload")}.appendTo(nil)
	damaged[len(damaged)-1]++
	for name, response := range map[string][]byte{
		"another kind": pingFrame{number: 1}.appendTo(nil),
		"too long":     {0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0},
		"damaged":      damaged,
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveConnections(t, func(connection net.Conn) {
				defer connection.Close()
				readFrame(bufio.NewReader(connection), maxRequestBytes)
				connection.Write(response)
			})
			if _, err := Query(addr, "any", nil, 5*time.Second); !errors.Is(err, errInvalidFrame) {
				t.Errorf("got error %v, want %v", err, errInvalidFrame)
			}
		})
	}
}
