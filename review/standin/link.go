package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy between two control machines. Once it is cut, nothing passes in either direction, and connections stay open and
// silent.
type link struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	isCut   bool
	sockets []net.Conn
}

// startLink starts a proxy to an address at a free port.
func startLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener}
	go l.accept()
	return l, nil
}

// accept serves connections until the listener is closed.
func (l *link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.keep(from)
		if l.cutNow() {
			continue
		}
		to, err := net.DialTimeout("tcp", l.target, time.Second)
		if err != nil {
			from.Close()
			continue
		}
		l.keep(to)
		go l.forward(from, to)
		go l.forward(to, from)
	}
}

// keep remembers a connection, to close it at the end.
func (l *link) keep(socket net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sockets = append(l.sockets, socket)
}

// cutNow returns whether the link is cut.
func (l *link) cutNow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

// forward passes bytes on until the connection ends or the link is cut.
func (l *link) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.cutNow() {
			io.Copy(io.Discard, from) // what was sent is not received
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// cut cuts the link.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
}

// close ends the proxy.
func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, socket := range l.sockets {
		socket.Close()
	}
}
