package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Kinds of frames, and the state of a node that drains.
const (
	frameEmpty    = 0
	frameChanges  = 2
	frameGroup    = 4
	stateDraining = 1
)

// journal is the journal service. Event 1, the whole list, is in the configuration; the events here are later ones.
type journal struct {
	log        *record
	listener   net.Listener
	firstAfter time.Duration // how long it takes until the first frame on a connection

	mu      sync.Mutex
	frames  [][]byte // event number n is at index n-2
	told    chan struct{}
	sockets []net.Conn
}

// firstEvent is the number of the first event that the journal service tells.
const firstEvent = 2

// startJournal starts the journal service at a free port.
func startJournal(log *record, firstAfter time.Duration) (*journal, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{log: log, listener: listener, firstAfter: firstAfter, told: make(chan struct{})}
	go j.accept()
	return j, nil
}

// accept serves connections until the listener is closed.
func (j *journal) accept() {
	for {
		socket, err := j.listener.Accept()
		if err != nil {
			return
		}
		j.mu.Lock()
		j.sockets = append(j.sockets, socket)
		j.mu.Unlock()
		go j.serve(socket)
	}
}

// serve tells a director all events after the one that it names, and an empty frame each second.
func (j *journal) serve(socket net.Conn) {
	defer socket.Close()
	var hello [8]byte
	if _, err := io.ReadFull(socket, hello[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(hello[:])
	j.log.add("journal: a director connects and holds event %d", last)
	ended := make(chan struct{})
	go func() {
		io.Copy(io.Discard, socket)
		j.log.add("journal: that connection ended")
		close(ended)
	}()
	select {
	case <-time.After(j.firstAfter):
	case <-ended:
		return
	}
	for {
		frames, newest, told := j.after(last)
		for _, frame := range frames {
			if _, err := socket.Write(frame); err != nil {
				return
			}
		}
		if len(frames) > 0 {
			j.log.add("journal: told events up to %d", newest)
		}
		last = newest
		if _, err := socket.Write(frame(newest, frameEmpty, nil)); err != nil {
			return
		}
		select {
		case <-told:
		case <-time.After(time.Second):
		case <-ended:
			return
		}
	}
}

// after returns the frames after an event, the number of the newest event, and a channel that is closed at the next event.
func (j *journal) after(last uint64) (frames [][]byte, newest uint64, told chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	newest = firstEvent - 1 + uint64(len(j.frames))
	if last < newest {
		frames = j.frames[last+1-firstEvent:]
	}
	return frames, newest, j.told
}

// tell adds an event and returns the time from which it is in the journal service.
func (j *journal) tell(kind byte, payload []byte) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	number := firstEvent + uint64(len(j.frames))
	j.frames = append(j.frames, frame(number, kind, payload))
	close(j.told)
	j.told = make(chan struct{})
	j.log.add("journal: event %d of kind %d", number, kind)
	return time.Now()
}

// purgeGroup tells a purge of a group. It returns the purge's Unix millisecond and the time from which it is told.
func (j *journal) purgeGroup(group uint16) (stamp int64, told time.Time) {
	stamp = time.Now().UnixMilli()
	payload := binary.BigEndian.AppendUint16(nil, group)
	return stamp, j.tell(frameGroup, binary.BigEndian.AppendUint64(payload, uint64(stamp)))
}

// drain tells that a node drains. It returns the time from which that is told.
func (j *journal) drain(n *node, zone, kind int) time.Time {
	payload := binary.BigEndian.AppendUint32(nil, n.id)
	address := n.address()
	payload = append(payload, address.Addr().AsSlice()...)
	payload = binary.BigEndian.AppendUint16(payload, address.Port())
	payload = append(payload, stateDraining, byte(zone), byte(kind))
	payload = binary.BigEndian.AppendUint16(payload, 0)    // cell
	payload = binary.BigEndian.AppendUint32(payload, 1000) // weight
	payload = binary.BigEndian.AppendUint64(payload, 0)    // started long ago
	return j.tell(frameChanges, payload)
}

// frame returns a frame.
func frame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// close ends the journal service.
func (j *journal) close() {
	j.listener.Close()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, socket := range j.sockets {
		socket.Close()
	}
}
