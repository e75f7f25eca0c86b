package peer

// Requests, which any program may send, and their responses.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"
)

// errVersion is the response to a request with another protocol version. Its text is sent on the wire and must not change.
var errVersion = errors.New("peer: another version of the talk between directors")

// QueryError is the error for a request that the other side received and answered with an error.
type QueryError struct {
	Addr   string // address that the request was sent to
	Reason string // text of the error in the response
}

func (e *QueryError) Error() string {
	return fmt.Sprintf("peer: request to %s failed: %s", e.Addr, e.Reason)
}

// QueryHandlers are the functions that answer requests, by topic. They must not block for long. Any program on the network may send a
// request, so neither results nor error texts, which are sent in the response, may contain anything confidential.
type QueryHandlers map[string]func(payload []byte) ([]byte, error)

// Query sends a request to the Bus or QueryServer at an address and returns the payload of the response. The timeout covers the dial
// and the exchange together. The error is a *QueryError if the other side responded with an error. Any other error comes from the
// connection or from an invalid frame.
func Query(addr, topic string, payload []byte, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	socket, err := (&net.Dialer{Deadline: deadline}).Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	socket.SetDeadline(deadline)
	response, err := exchangeRequest(socket, requestFrame{version: protocolVersion, topic: topic, payload: payload})
	switch {
	case err != nil:
		return nil, err
	case !response.ok:
		return nil, &QueryError{Addr: addr, Reason: string(response.payload)}
	}
	return response.payload, nil
}

// exchangeRequest writes a request and returns the response. The caller sets the deadlines.
func exchangeRequest(socket net.Conn, request requestFrame) (responseFrame, error) {
	if _, err := socket.Write(request.appendTo(nil)); err != nil {
		return responseFrame{}, err
	}
	f, err := readFrame(bufio.NewReader(socket), maxFrameBytes)
	if err != nil {
		return responseFrame{}, err
	}
	response, ok := f.(responseFrame)
	if !ok {
		return responseFrame{}, errUnexpectedFrame
	}
	return response, nil
}

// answer calls the handler of a request. The texts of its errors are sent on the wire and must not change.
func (h QueryHandlers) answer(request requestFrame) ([]byte, error) {
	handle := h[request.topic]
	switch {
	case request.version != protocolVersion:
		return nil, errVersion
	case handle == nil:
		return nil, fmt.Errorf("nothing is known of %q here", request.topic)
	}
	return handle(request.payload)
}

// reply writes the response to a request and leaves the connection open.
func (h QueryHandlers) reply(socket net.Conn, request requestFrame) {
	payload, err := h.answer(request)
	if err != nil {
		payload = []byte(err.Error())
	}
	response := responseFrame{ok: err == nil, payload: payload}
	socket.SetWriteDeadline(time.Now().Add(helloTimeout))
	socket.Write(response.appendTo(nil)) // an error needs no handling, because the other side sees the connection end
}
