// Package simadapter connects the simulator to the routing decisions. It decodes the simulator's events, passes each event to the director
// of its instance, and encodes the decisions as actions. It makes no decisions itself. No other package uses the names and numbers of the
// simulator's protocol.
package simadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// bufferBytes is the size of the input buffer and of the output buffer.
const bufferBytes = 1 << 20

// Serve reads frames and writes a reply to each until the input ends. It returns nil if the input ends between frames, a *MalformedError
// for a frame that violates the protocol, and an error that names the frame if a write fails. Instances exist until Serve returns.
func Serve(in io.Reader, out io.Writer) error {
	server := &server{
		in:        bufio.NewReaderSize(in, bufferBytes),
		out:       bufio.NewWriterSize(out, bufferBytes),
		instances: map[uint16]*instance{},
	}
	for frame := 0; ; frame++ {
		err := server.serveFrame(frame)
		if errors.Is(err, errInputEnded) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// errInputEnded means that the input ended between frames.
var errInputEnded = errors.New("the input ended between frames")

// server holds the instances of one simulator, and the buffers that are reused for all frames.
type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[uint16]*instance
	header    [headerBytes]byte
	records   []byte
	reply     reply
}

// serveFrame reads one frame and writes the reply. It returns errInputEnded if there are no more frames.
func (s *server) serveFrame(frame int) error {
	if err := s.readFrame(frame); err != nil {
		return err
	}
	s.reply.start(s.header[:numberBytes])
	batch := batch{
		decoder:   decoder{frame: frame, records: s.records},
		clock:     binary.LittleEndian.Uint64(s.header[numberBytes+lengthBytes:]),
		instances: s.instances,
		reply:     &s.reply,
	}
	if err := batch.apply(); err != nil {
		return err
	}
	if _, err := s.out.Write(s.reply.finish()); err != nil {
		return fmt.Errorf("writing the reply to frame %d: %w", frame, err)
	}
	if err := s.out.Flush(); err != nil {
		return fmt.Errorf("writing the reply to frame %d: %w", frame, err)
	}
	return nil
}

// readFrame reads one frame into header and records. It returns errInputEnded if there are no more frames.
func (s *server) readFrame(frame int) error {
	read, err := io.ReadFull(s.in, s.header[:])
	if errors.Is(err, io.EOF) {
		return errInputEnded
	}
	if err != nil {
		return &MalformedError{Frame: frame, Offset: read, Problem: "truncated header", Err: err}
	}
	length := binary.LittleEndian.Uint32(s.header[numberBytes:])
	if length < clockBytes || length > maxFrameBytes {
		return &MalformedError{Frame: frame, Offset: numberBytes, Problem: fmt.Sprintf("invalid frame length %d", length)}
	}
	recordsBytes := int(length) - clockBytes
	if cap(s.records) < recordsBytes {
		s.records = make([]byte, recordsBytes)
	}
	s.records = s.records[:recordsBytes]
	if read, err := io.ReadFull(s.in, s.records); err != nil {
		return &MalformedError{Frame: frame, Offset: read, Problem: "truncated records", Err: err}
	}
	return nil
}
