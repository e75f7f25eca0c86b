package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// floodCommand is the name under which this program starts itself as a separate process of bad clients, so that these take no
// processor time from the clients that are judged. Its arguments are the director's address and the number of connections.
const floodCommand = "flood"

const (
	floodBatch   = 100     // requests that a bad client writes at once
	firstFloodID = 1 << 16 // from here on a message id always has 32 bits on the wire
	floodIDAt    = 3       // where the id stands in a request: behind the head of the array, the type and the head of the id
)

// startFlood starts the bad clients. The caller kills the process.
func startFlood(address string, connections int) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	flood := exec.Command(self, floodCommand, address, strconv.Itoa(connections))
	flood.Stderr = os.Stderr
	if _, err := flood.StdinPipe(); err != nil { // its end tells the flood that the case has ended
		return nil, err
	}
	return flood, flood.Start()
}

// flood plays bad clients until standard input ends: on each connection requests of a class that does not exist, at full speed. The
// answers are read. A connection that the director ends is replaced. It returns the exit code.
func flood(address string, connections string) int {
	count, err := strconv.Atoi(connections)
	if err != nil {
		fmt.Fprintln(os.Stderr, "flood:", err)
		return couldNotRun
	}
	runtime.GOMAXPROCS(2)
	for i := range count {
		go func() {
			for {
				floodOnce(address, i)
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	io.Copy(io.Discard, os.Stdin)
	return ruleHeld
}

// floodOnce writes requests on one connection until it ends.
func floodOnce(address string, number int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	go func() {
		io.Copy(io.Discard, conn)
		conn.Close()
		close(ended)
	}()
	defer func() { <-ended }()
	var batch []byte
	var ids [][]byte
	var starts []int
	for i := range floodBatch {
		message := clip(fmt.Sprintf("bad%013x", number), strconv.Itoa(i), "1")
		message.ID, message.RequestID, message.Class = firstFloodID, newID(), "no-such-class"
		starts = append(starts, len(batch))
		batch = msgpack.AppendRequest(batch, &message)
	}
	for _, start := range starts {
		ids = append(ids, batch[start+floodIDAt:start+floodIDAt+4])
	}
	for next := uint32(firstFloodID); ; {
		for _, id := range ids {
			binary.BigEndian.PutUint32(id, next)
			next++
		}
		if _, err := conn.Write(batch); err != nil {
			conn.Close()
			return
		}
	}
}
